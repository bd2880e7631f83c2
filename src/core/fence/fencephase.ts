/**
 * `absent`: no incarnation has been taken yet. `held`: ours was the latest when last asked.
 * `superseded`: another sidecar has taken a later one; this one never orders again.
 */
export type FencePhase = 'absent' | 'held' | 'superseded';
