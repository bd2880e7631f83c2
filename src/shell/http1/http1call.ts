/** One HTTP/1.1 request, its body whole. */
export interface Http1Call {
  readonly method: string;
  readonly path: string;
  /** Alternates names and values, without `Content-Length` and `Connection`. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
  /** Asked right before the first byte leaves; if it says no, none does. */
  readonly mayLeave?: () => boolean;
}
