/** A request's place among those that the upstream runs now. */
export interface Slot {
  /** Aborted when the request has to make room and be taken up again later. */
  readonly preempted: AbortSignal;
  /** Priority that the engine is given; higher goes first. Defaults to 0. */
  readonly priority?: number;
  /** Tells that tokens have come, so that the pace can be held. */
  progress(tokenCount: number): void;
  /** Gives the place back, once. */
  release(outcome: 'answered' | 'broken' | 'cancelled' | 'preempted'): void;
}
