import type { Log } from '../../port/index.js';
import { HostClock } from './hostclock.js';
import { openBoottime } from './openboottime.js';

/** Creates the clock of a daemon. Where no clock counts suspended time, logs an error and uses the steady clock. */
export function createHostClock(log: Log): HostClock {
  const steadyMs = () => performance.now();
  const boottimeMs = openBoottime(log) ?? steadyMs;
  const source = { steadyMs, boottimeMs, wallMs: () => Date.now() };
  return new HostClock(source, (suspendedMs) => {
    log.warn('host was suspended', { suspendedMs: Math.round(suspendedMs) });
  });
}
