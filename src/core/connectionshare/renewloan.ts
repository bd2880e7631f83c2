import type { Ms } from '../../base/index.js';
import { connectionRules } from './connectionrules.js';
import type { Loan } from './loan.js';

/** Returns a loan after its entry has reported `openCount` and was granted `count`. */
export function renewLoan(
  before: Loan | undefined,
  count: number,
  openCount: number,
  nowMs: Ms,
): Loan {
  const { loanMs, reportMs } = connectionRules;
  const grants = (before?.grants ?? []).filter(({ untilMs }) => nowMs < untilMs);
  // The entry may have opened connections after it sent this report.
  if (count > 0) grants.push({ count, untilMs: nowMs + loanMs + reportMs });
  return { grants, openCount };
}
