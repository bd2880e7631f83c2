import { Executed, type Refusal } from '../../wire/index.js';

/**
 * Returns the refusal sent to the caller if no attempt gave a complete answer: the last one, but with `executed: no`
 * only if every attempt is known not to have run.
 */
export function finalRefusal(refusals: readonly Refusal[]): Refusal {
  const last = refusals.at(-1)!;
  const allNo = refusals.every(({ executed }) => executed === Executed.EXECUTED_NO);
  if (allNo || last.executed !== Executed.EXECUTED_NO) return last;
  return { ...last, executed: Executed.EXECUTED_UNKNOWN };
}
