import type { Clock } from './clock.js';
import { MAX_TIMER_MS } from './maxtimerms.js';

/** The clock of the operating system. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  after(delayMs, act) {
    const timer = setTimeout(act, Math.min(delayMs, MAX_TIMER_MS));
    return () => clearTimeout(timer);
  },
};
