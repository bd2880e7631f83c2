/** An answer recorded for replay. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  readonly body: Buffer;
  /** Sizes of the data frames in which a repeat is sent the body; none splits an event. */
  readonly pieceBytes: readonly number[];
}
