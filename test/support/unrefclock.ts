import { systemClock, type Clock } from '../../src/base/index.js';

/** A clock whose timers do not keep the process alive: leases outlive the test. */
export const unrefClock: Clock = {
  ...systemClock,
  after(delayMs, act) {
    const timer = setTimeout(act, delayMs).unref();
    return () => clearTimeout(timer);
  },
};
