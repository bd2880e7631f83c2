import type { Ms } from '../base/index.js';

/** Observed deadlines of a route's callers: the longest, and the one that nearly all have at least. */
interface RouteDeadlines {
  longestMs: Ms;
  /** The usual deadline as a share of the longest. */
  usualShare: number;
  count: number;
}

/** Slow decay of the longest deadline, so that shorter deadlines of a new configuration count. */
const DECAY = 0.9995;
/** Share of the callers below the usual deadline, which is approximated in steps of `STEP_SHARE` up and down. */
const BELOW_SHARE = 0.2;
const STEP_SHARE = 0.01;
/**
 * Distance from the usual deadline down to the shortest, as a fraction of the distance from the usual deadline up to
 * the longest. It is 0.25 for evenly spread deadlines; the rest is a margin for noise.
 */
const SPREAD_SHARE = 0.3;
/** If deadlines do not differ, a caller below this share of the longest is returning. */
const MAX_SHARE = 0.985;
/** Callers of a route needed before any is classified as returning. */
const MIN_COUNT = 30;

/**
 * Detects callers that return after a refusal: they have less time left than nearly all others of their route. First
 * tries differ in their deadlines as well (by 15 %): compared with the longest deadline only, 1,388 of 1,846 of them
 * counted as returns. A return after a short wait cannot be distinguished from a first try and is treated as one.
 */
export class ReturnDetector {
  private readonly routes = new Map<string, RouteDeadlines>();

  isReturn(route: string, deadlineMs: Ms | undefined): boolean {
    if (deadlineMs === undefined) return false;
    const observed = this.routes.get(route) ?? { longestMs: 0, usualShare: 1, count: 0 };
    this.routes.set(route, observed);
    const isKnown = observed.count >= MIN_COUNT;
    const leastShare = observed.usualShare - SPREAD_SHARE * (1 - observed.usualShare);
    const isReturn = isKnown && deadlineMs < observed.longestMs * Math.min(MAX_SHARE, leastShare);
    observed.count += 1;
    observed.longestMs = Math.max(deadlineMs, observed.longestMs * DECAY);
    const isBelow = deadlineMs < observed.longestMs * observed.usualShare;
    // The usual share stays the same on average when `BELOW_SHARE` of the callers are below it.
    const step = isBelow ? -STEP_SHARE * (1 - BELOW_SHARE) : STEP_SHARE * BELOW_SHARE;
    observed.usualShare = Math.min(1, Math.max(0, observed.usualShare + step));
    return isReturn;
  }
}
