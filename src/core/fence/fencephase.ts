/**
 * `absent`: this process has not taken an incarnation yet. `held`: ours was the latest at the last store
 * call. `superseded`: another sidecar has taken a later one; this one never sends orders again.
 */
export type FencePhase = 'absent' | 'held' | 'superseded';
