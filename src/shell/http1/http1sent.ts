/** A call on its way. */
export interface Http1Sent {
  /** False as long as not one byte of the request has left this process. */
  readonly hasLeft: boolean;
  /** Closes the connection; the receiver hears nothing more. */
  cancel(): void;
  /** Lets the answer flow again. */
  resume(): void;
}
