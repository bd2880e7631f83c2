import type { Clock, Ms } from '../../base/index.js';

/** A round of reads that took longer says nothing of what arrived meanwhile. */
const LONGEST_ROUND_MS: Ms = 200;

function readRound(clock: Clock, act: () => void): void {
  const beganAtMs = clock.nowMs();
  setImmediate(() => {
    if (clock.nowMs() - beganAtMs > LONGEST_ROUND_MS) readRound(clock, act);
    else act();
  });
}

/**
 * Calls `act` after what had arrived on sockets has been read. After a standstill the event loop runs late timers before
 * it reads the closes and connections that arrived earlier, and it reads a close one round after the data before it.
 */
export function afterReads(clock: Clock, act: () => void): void {
  // This immediate may run before the next round of reads; one set by it runs after a whole round.
  setImmediate(() => readRound(clock, act));
}
