import type { OverloadState } from './overloadstate.js';

/** Returns the state of a process that accepts every connection. */
export function initialOverload(): OverloadState {
  return {
    phase: 'open',
    standingSinceMs: undefined,
    standingTurns: 0,
    acceptedAtMs: 0,
    sheddingSinceMs: 0,
    refusedCount: 0,
    closedCount: 0,
  };
}
