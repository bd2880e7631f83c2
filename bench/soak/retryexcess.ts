import type { Ms } from '../../src/base/index.js';

/** Bound on arrivals at upstreams beyond the first of each request. */
interface RetryBound {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: Ms;
}

/** Returns how many of the sorted times lie in a span. */
function countIn(times: readonly Ms[], fromMs: Ms, toMs: Ms): number {
  const firstAfter = (limitMs: Ms, isIncluded: boolean) => {
    let low = 0;
    let high = times.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const isBefore = isIncluded ? times[middle]! <= limitMs : times[middle]! < limitMs;
      if (isBefore) low = middle + 1;
      else high = middle;
    }
    return low;
  };
  return firstAfter(toMs, true) - firstAfter(fromMs, false);
}

/**
 * Returns by how many the retries in any window exceed what the platform allows: a share of the requests in that window,
 * in the one before it, or in the one half a window before it, whichever has most, and a slack. Negative if they do not.
 */
export function retryExcess(
  requestTimes: readonly Ms[],
  retryTimes: readonly Ms[],
  { ratio, slack, windowMs }: RetryBound,
): number {
  const requests = [...requestTimes].sort((a, b) => a - b);
  const retries = [...retryTimes].sort((a, b) => a - b);
  let worst = -Infinity;
  for (const atMs of retries) {
    for (const fromMs of [atMs, atMs - windowMs]) {
      const counts = [0, windowMs, windowMs / 2].map((earlierMs) =>
        countIn(requests, fromMs - earlierMs, fromMs - earlierMs + windowMs),
      );
      const allowed = ratio * Math.max(...counts) + slack;
      worst = Math.max(worst, countIn(retries, fromMs, fromMs + windowMs) - allowed);
    }
  }
  return worst;
}
