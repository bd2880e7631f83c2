import { allocationRules } from './allocationrules.js';

/**
 * Returns the load that an engine answers on time if `level` is offered, both as a share of its slots. Goodput rises
 * until one more request would make others late. Load beyond that is refused, so an engine that is offered ten times
 * its slots keeps its peak goodput, and each further replica adds the same amount.
 */
export function goodput(level: number, onTimeShare: number): number {
  const { lateSpan } = allocationRules;
  const bestFill = Math.max(onTimeShare, (lateSpan + onTimeShare) / 2);
  const fill = Math.min(level, bestFill);
  return fill * (1 - Math.max(0, fill - onTimeShare) / lateSpan);
}
