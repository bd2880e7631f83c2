/** One request of a caller on a raw socket, as that caller observed it. */
export interface SocketRequest {
  readonly id: string;
  readonly kind: 'lookup' | 'charge' | 'draft' | 'batch';
  /** Index of the entry that it was sent to. */
  readonly entry: number;
  /** True if the caller chose the entry because it had answered that it is ready. */
  readonly isAtReady: boolean;
  /** Number of requests that were sent earlier on its connection. */
  readonly earlierCount: number;
  /** True if the request did not ask for the connection to be closed. */
  readonly isKept: boolean;
  /** When its first byte was handed to the kernel. */
  readonly startedAtMs: number;
  /** When the kernel had accepted its last byte; undefined if it never did. */
  sentAtMs: number | undefined;
  status: number | undefined;
  /** Bytes of its answer that arrived, whole or not. */
  receivedBytes: number;
  /** The last characters of an answer that was not complete. */
  receivedEnd: string;
  /** True if the answer was complete by its HTTP framing. */
  isWhole: boolean;
  endedAtMs: number | undefined;
  /** How the connection ended before a complete answer: an error code, or `closed` for an ordinary end. */
  errorCode: string | undefined;
  /** True if the answer before it on the connection announced that the connection closes. */
  isBehindClose: boolean;
  /** True if the caller closed the connection because no answer had come long after the deadline. */
  hasGivenUp: boolean;
}
