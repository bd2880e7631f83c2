import type { Clock, Ms } from '../../base/index.js';

/** If one iteration of the event loop takes longer, more may have arrived meanwhile, and another one is awaited. */
const MAX_ITERATION_MS: Ms = 200;

function afterIteration(clock: Clock, act: () => void): void {
  const startedAtMs = clock.nowMs();
  setImmediate(() => {
    if (clock.nowMs() - startedAtMs > MAX_ITERATION_MS) afterIteration(clock, act);
    else act();
  });
}

/**
 * Calls `act` after everything that has arrived on sockets has been read. After a stall the event loop runs late timers
 * before it reads closes and connections that arrived earlier, and it reads a close one iteration after the data
 * before it.
 */
export function afterReads(clock: Clock, act: () => void): void {
  // This immediate may run before the next poll for reads. One that it schedules runs after a full iteration.
  setImmediate(() => afterIteration(clock, act));
}
