import type { EjectionState } from './ejectionstate.js';

const INITIAL: EjectionState = {
  isEjected: false,
  rejectedAtMs: -Infinity,
  untilMs: -Infinity,
  nextProbeMs: -Infinity,
  isProbed: false,
  rejectedCount: 0,
  soundCount: 0,
  endlessCount: 0,
};

/** Returns the state of an upstream none of whose answers was rejected. */
export function initialEjection(): EjectionState {
  return INITIAL;
}
