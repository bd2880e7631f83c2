import type { Quota } from '../access/index.js';
import { quotaLimits } from './quotalimits.js';
import type { QuotaTerms } from './quotaterms.js';

const MS_PER_S = 1000;

/**
 * What the shared bucket holds when it is full. In no window more can be sent than what lay there and at the entries
 * when it began, which is this at most, and what flowed in since: rate x window.
 */
export function capacityOf({ ratePerS, burst }: Quota, terms: QuotaTerms): number {
  const allowed = (ratePerS * terms.windowMs) / MS_PER_S + burst;
  const excess = allowed * terms.overshoot + terms.slack;
  return burst + excess * quotaLimits.excessShare;
}
