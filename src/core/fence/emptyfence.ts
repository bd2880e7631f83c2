import type { Incarnation, Revision } from '../../base/index.js';
import type { FenceState } from './fencestate.js';

/** Returns the state of a sidecar that has not yet read its key from the store. */
export function emptyFence(owner: string): FenceState {
  return {
    phase: 'absent',
    owner,
    incarnation: 0 as Incarnation,
    revision: 0 as Revision,
    recorded: [],
    wanted: [],
    call: 'none',
    calledAtMs: 0,
    writing: undefined,
    failing: false,
    retryAtMs: 0,
    failures: 0,
  };
}
