/** An answer recorded for replay. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  readonly body: Buffer;
  /** Sizes of the data frames that carried the body, so that an interrupted answer can be resumed. */
  readonly pieceBytes: readonly number[];
}
