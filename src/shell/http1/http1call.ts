/** One HTTP/1.1 request with its complete body. */
export interface Http1Call {
  readonly method: string;
  readonly path: string;
  /** Alternates names and values, without `Content-Length` and `Connection`. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
  /** Called right before the first byte is sent; if it returns false, nothing is sent. */
  readonly maySend?: () => boolean;
}
