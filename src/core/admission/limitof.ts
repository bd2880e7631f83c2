import type { AdmissionState } from './admissionstate.js';
import { LANES } from './lanes.js';

/**
 * So far beyond the limit may urgent requests go, and those of customers who have used little: they are
 * few or short, and a step grows little by one more.
 */
const URGENT_PART = 0.25;
/** Long jobs leave so much of the limit free, so that they need not be pre-empted at once. */
const LONG_PART = 0.35;

/** Requests that may run at once when one of this lane wants to start. */
export function limitOf({ pace, policy }: AdmissionState, lane: number): number {
  const { limit } = pace;
  if (policy.type === 'plain') return limit;
  if (lane === 0) return limit + Math.round(limit * URGENT_PART);
  return LANES[lane]!.longJobs ? Math.max(1, limit - Math.ceil(limit * LONG_PART)) : limit;
}
