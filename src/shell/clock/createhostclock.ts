import type { Log } from '../../port/index.js';
import { HostClock } from './hostclock.js';
import { openBoottime } from './openboottime.js';

/** The clock of a daemon; without one that counts suspension it goes by the steady clock, and says so. */
export function createHostClock(log: Log): HostClock {
  const steadyMs = () => performance.now();
  const boottimeMs = openBoottime(log) ?? steadyMs;
  const source = { steadyMs, boottimeMs, wallMs: () => Date.now() };
  return new HostClock(source, (suspendedMs) => {
    log.warn('host was suspended', { suspendedMs: Math.round(suspendedMs) });
  });
}
