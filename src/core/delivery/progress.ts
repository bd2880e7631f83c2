/** Progress of a request over its attempts so far. */
export interface Progress {
  /** True if the request may be run more than once. */
  readonly isRepeatable: boolean;
  /** True if another upstream can continue its stream after the last event sent to the caller. */
  readonly isResumable: boolean;
  /** True if part of the answer was sent to the caller. */
  readonly hasBegun: boolean;
  /** Number of upstreams that may have run it. */
  readonly ranCount: number;
  /** Number of attempts that were refused without running or never sent. */
  readonly refusedCount: number;
  readonly maxAttempts: number;
  readonly remainingMs: number;
}
