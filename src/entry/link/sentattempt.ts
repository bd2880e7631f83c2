/** Handle of one attempt that was sent to a sidecar. */
export interface SentAttempt {
  /** Grants the sidecar credit for this many more data frames. */
  grant(dataCount: number): void;
  /** Cancels the attempt at the sidecar. Nothing is received afterwards. */
  cancel(reason: string): void;
  /** Releases the attempt after its answer has ended. */
  done(): void;
}
