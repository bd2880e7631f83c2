import type { Standing } from './standing.js';

/** An upstream that has said nothing yet. */
export const freshStanding: Standing = {
  rateAtMs: -Infinity,
  isLeaving: false,
  pausedUntilMs: -Infinity,
};
