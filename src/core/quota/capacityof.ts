import type { Quota } from '../access/index.js';
import { quotaLimits } from './quotalimits.js';
import type { QuotaTerms } from './quotaterms.js';

const MS_PER_S = 1000;

/**
 * Returns the capacity of the shared bucket. In any window, no more can be sent than what the bucket and the entries
 * held at its start, which is at most this capacity, plus the inflow during the window: rate x window.
 */
export function capacityOf({ ratePerS, burst }: Quota, terms: QuotaTerms): number {
  const allowed = (ratePerS * terms.windowMs) / MS_PER_S + burst;
  const excess = allowed * terms.overshoot + terms.slack;
  return burst + excess * quotaLimits.excessShare;
}
