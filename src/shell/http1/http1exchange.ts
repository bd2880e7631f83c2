/** A call in progress. */
export interface Http1Exchange {
  /** False as long as no byte of the request has left this process. */
  readonly isSent: boolean;
  /** What has been read of the answer's body. */
  readonly received: {
    readonly bytes: number;
    /** Slices that the parser has reported: at least one for each chunk. */
    readonly pieces: number;
  };
  /** Closes the connection. The receiver is not called again. */
  cancel(): void;
  /** Resumes an answer that `Http1Receiver.data` has paused. */
  resume(): void;
}
