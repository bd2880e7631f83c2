import { Executed, type Refusal } from '../../wire/index.js';

/**
 * What the caller is told when no attempt gave a whole answer: the last word, but `executed: no` only
 * if every attempt is known not to have run.
 */
export function conclude(refusals: readonly Refusal[]): Refusal {
  const last = refusals.at(-1)!;
  const allNo = refusals.every(({ executed }) => executed === Executed.EXECUTED_NO);
  if (allNo || last.executed !== Executed.EXECUTED_NO) return last;
  return { ...last, executed: Executed.EXECUTED_UNKNOWN };
}
