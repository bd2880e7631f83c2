import { Executed, type Refusal } from '../../wire/index.js';

/** Refusals after which the ticket, or this request under it, can never run. */
const PERMANENT = new Set([
  'ticket-cancelled',
  'ticket-expired',
  'ticket-mismatch',
  'ticket-not-yours',
  'ticket-malformed',
]);

/**
 * Returns the refusal for the caller of a bound request from the refusals of its attempts, in order. An
 * attempt with an unknown outcome may still reach the sidecar and run, so a later refusal proves that the
 * request was not executed only if it is permanent.
 */
export function finalRefusal(refusals: readonly Refusal[]): Refusal {
  const last = refusals.at(-1)!;
  if (last.executed !== Executed.EXECUTED_NO || PERMANENT.has(last.type)) return last;
  const known = refusals.every(({ executed }) => executed === Executed.EXECUTED_NO);
  return known ? last : { ...last, executed: Executed.EXECUTED_UNKNOWN };
}
