/** An answer of a faulty server: its head, and then bytes that go on until the connection closes. */
export interface Endless {
  /** Status line; undefined if the answer does not begin with a head of its own. */
  readonly status?: string;
  /** Request id in its head, if it is not that of the request. */
  readonly requestId?: string;
  /** Further header fields, and the end of the head if it has one. */
  readonly fields: string;
  /** What is repeated. */
  readonly piece: string;
  /** How often it is repeated before the server falls silent; undefined: without end. */
  readonly times?: number;
}
