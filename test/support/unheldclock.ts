import { systemClock, type Clock } from '../../src/base/index.js';

/** Leases outlive the test; their timers must not hold up its end. */
export const unheldClock: Clock = {
  ...systemClock,
  after(delayMs, act) {
    const timer = setTimeout(act, delayMs).unref();
    return () => clearTimeout(timer);
  },
};
