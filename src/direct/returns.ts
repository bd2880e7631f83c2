import type { Ms } from '../base/index.js';

/** A caller with less than this part of the longest time that its route's callers have is back again. */
const RETURN_SHARE = 0.985;
/** The longest time seen is forgotten slowly, so that shorter deadlines of a new configuration count. */
const KEPT_SHARE = 0.9995;

/**
 * Tells callers that come back after a refusal from those that come for the first time: they have less time
 * left. To refuse one again loses it for good, so that it may wait where another is told to come back.
 */
export class Returns {
  private readonly longestMs = new Map<string, Ms>();

  isReturn(route: string, deadlineMs: Ms | undefined): boolean {
    if (deadlineMs === undefined) return false;
    const longestMs = Math.max(deadlineMs, (this.longestMs.get(route) ?? 0) * KEPT_SHARE);
    this.longestMs.set(route, longestMs);
    return deadlineMs < longestMs * RETURN_SHARE;
  }
}
