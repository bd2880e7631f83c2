/** A slot for one running request at the upstream. */
export interface Slot {
  /** Aborted when the request is pre-empted: it has to stop and be offered again. */
  readonly preempted: AbortSignal;
  /** Priority at the engine; higher values run first. Defaults to 0. */
  readonly priority?: number;
  /** Reports tokens that have arrived; admission controls the token pace with it. */
  progress(tokenCount: number): void;
  /** Releases the slot. Called once. */
  release(outcome: 'answered' | 'broken' | 'cancelled' | 'preempted'): void;
}
