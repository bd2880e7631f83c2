import type { AdmissionState } from './admissionstate.js';
import { LANES } from './lanes.js';

/**
 * Fraction of the limit by which urgent requests, and those of customers that underuse their share, may exceed it.
 * They are few or short, and one more request adds little to the duration of an engine step.
 */
const URGENT_EXCESS = 0.25;
/** Fraction of the limit that long jobs leave free, so that they need not be preempted at once. */
const LONG_JOB_RESERVE = 0.35;

/** Returns the number of concurrent requests up to which a request of this lane may start. */
export function limitOf({ concurrency, policy }: AdmissionState, lane: number): number {
  const { limit } = concurrency;
  if (policy.type === 'plain') return limit;
  if (lane === 0) return limit + Math.round(limit * URGENT_EXCESS);
  return LANES[lane]!.longJobs ? Math.max(1, limit - Math.ceil(limit * LONG_JOB_RESERVE)) : limit;
}
