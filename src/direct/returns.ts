import type { Ms } from '../base/index.js';

/** What has been seen of a route's callers: their longest time, and the time that nearly all have. */
interface Seen {
  longestMs: Ms;
  /** As a part of the longest. */
  usualShare: number;
  count: number;
}

/** The longest time seen is forgotten slowly, so that shorter deadlines of a new configuration count. */
const KEPT_SHARE = 0.9995;
/** Part of the callers that have less than the usual time; it is found by steps of this size up and down. */
const BELOW_SHARE = 0.2;
const STEP_SHARE = 0.01;
/**
 * Deadlines that are spread evenly end this far below the usual time, as a part of how far that is below the
 * longest: 0.25, and a little more against chance.
 */
const REST_SHARE = 0.3;
/** Where deadlines do not differ, a caller with less than this part of the longest is back. */
const MOST_SHARE = 0.985;
/** Before so many callers of a route have been seen, none is taken for one that is back. */
const LEAST_COUNT = 30;

/**
 * Tells callers that come back after a refusal from those that come for the first time: they have less time
 * left than nearly all others of their route. Callers' own deadlines differ (by 15 in 100 where it was measured):
 * held against the longest alone, 1,388 of 1,846 first tries counted as returns. One that is back after a short
 * wait cannot be told from a first try and is treated like one.
 */
export class Returns {
  private readonly routes = new Map<string, Seen>();

  isReturn(route: string, deadlineMs: Ms | undefined): boolean {
    if (deadlineMs === undefined) return false;
    const seen = this.routes.get(route) ?? { longestMs: 0, usualShare: 1, count: 0 };
    this.routes.set(route, seen);
    const isKnown = seen.count >= LEAST_COUNT;
    const leastShare = seen.usualShare - REST_SHARE * (1 - seen.usualShare);
    const isReturn = isKnown && deadlineMs < seen.longestMs * Math.min(MOST_SHARE, leastShare);
    seen.count += 1;
    seen.longestMs = Math.max(deadlineMs, seen.longestMs * KEPT_SHARE);
    const isBelow = deadlineMs < seen.longestMs * seen.usualShare;
    // In balance when that part of them is below.
    const step = isBelow ? -STEP_SHARE * (1 - BELOW_SHARE) : STEP_SHARE * BELOW_SHARE;
    seen.usualShare = Math.min(1, Math.max(0, seen.usualShare + step));
    return isReturn;
  }
}
