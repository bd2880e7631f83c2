/** A recorded answer. */
export interface Answer {
  readonly status: number;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  readonly body: Buffer;
  /** Sizes of the data frames that the body was sent in, so that a broken answer can be taken up. */
  readonly pieceBytes: readonly number[];
}
