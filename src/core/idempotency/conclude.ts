import { Executed, type Refusal } from '../../wire/index.js';

/** Refusals after which the ticket, or this request under it, can run nowhere any more. */
const FOR_GOOD = new Set([
  'ticket-cancelled',
  'ticket-expired',
  'ticket-mismatch',
  'ticket-not-yours',
  'ticket-malformed',
]);

/**
 * What the caller of a bound request is told, from how its attempts ended, in order. An attempt without
 * a known end may still arrive at the sidecar and run; so a later `no` holds only if it is for good.
 */
export function conclude(refusals: readonly Refusal[]): Refusal {
  const last = refusals.at(-1)!;
  if (last.executed !== Executed.EXECUTED_NO || FOR_GOOD.has(last.type)) return last;
  const known = refusals.every(({ executed }) => executed === Executed.EXECUTED_NO);
  return known ? last : { ...last, executed: Executed.EXECUTED_UNKNOWN };
}
