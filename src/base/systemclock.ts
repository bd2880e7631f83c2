import type { Clock } from './clock.js';

/** The clock of the operating system. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  after(delayMs, act) {
    const timer = setTimeout(act, delayMs);
    return () => clearTimeout(timer);
  },
};
