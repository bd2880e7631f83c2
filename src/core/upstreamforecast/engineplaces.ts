import type { Ms } from '../../base/index.js';
import { upstreamForecastRules } from './upstreamforecastrules.js';

/** An engine, and the request that may be sent to it. */
interface EngineCapacity {
  readonly slots: number;
  readonly pace: number;
  /** Limit found from the gaps between events, as a fraction of the slots. */
  readonly maxFill: number;
  /** Time that the request has left to be on time. */
  readonly targetMs: Ms;
  /** True for the most urgent requests and returning callers. */
  readonly isUrgent: boolean;
}

/**
 * Returns how many requests an engine takes from the point of view of one request: its slots, and as many beyond them
 * as start within a part of the request's target latency.
 */
export function enginePlaces(capacity: EngineCapacity): number {
  const { slots, pace, maxFill, targetMs, isUrgent } = capacity;
  const { minFill, maxBeyond, slotWaitShare, unknownServiceMs, urgentFactor } =
    upstreamForecastRules;
  const fill = Math.min(1, Math.max(minFill, maxFill));
  const slotFreesEveryMs = (pace * unknownServiceMs) / slots;
  const waitMs = Math.max(0, targetMs * slotWaitShare);
  const beyond = fill < 1 ? 0 : Math.min(slots * maxBeyond, waitMs / slotFreesEveryMs);
  const places = slots * fill + beyond;
  return isUrgent ? places * urgentFactor : places;
}
