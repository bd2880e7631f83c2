/** A call on its way. */
export interface Http1Sent {
  /** Closes the connection; the receiver hears nothing more. */
  cancel(): void;
  /** Lets the answer flow again. */
  resume(): void;
}
