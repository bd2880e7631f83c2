/** What has happened to a request so far. */
export interface Progress {
  /** Running it twice does no harm. */
  readonly isRepeatable: boolean;
  /** Its stream can go on at another upstream after the last event that its caller has. */
  readonly isResumable: boolean;
  /** Some of the answer has gone to the caller. */
  readonly hasBegun: boolean;
  /** Upstreams that may have run it. */
  readonly ranCount: number;
  /** Attempts that were refused unrun or never left. */
  readonly refusedCount: number;
  readonly maxAttempts: number;
  readonly remainingMs: number;
}
