import { allocationRules } from './allocationrules.js';

/**
 * What an engine answers in time, as a part of its slots, when it is asked for `level` of them. It rises until the
 * engine is so full that one more request makes others late; what is asked beyond that is refused, so that an engine
 * asked for ten times its slots still answers as many, and each further engine beside it answers as many again.
 */
export function inTime(level: number, calm: number): number {
  const { lateSpan } = allocationRules;
  const fullest = Math.max(calm, (lateSpan + calm) / 2);
  const filled = Math.min(level, fullest);
  return filled * (1 - Math.max(0, filled - calm) / lateSpan);
}
