import type { Pace } from './pace.js';

/** Returns the pace of an upstream that has reported nothing. */
export function initialPace(): Pace {
  return { average: 1, reported: 1, reportedAtMs: -Infinity };
}
