import type { Ms } from '../base/index.js';

/** Bounds on what callers may ask of one entry. */
export interface EntryLimits {
  /** Requests in flight at this entry. */
  readonly inFlight: number;
  /** Requests in flight for one customer, unless its document gives another number. */
  readonly inFlightPerCustomer: number;
  /** Open connections of callers. */
  readonly connections: number;
  /** All headers of one request together. */
  readonly headerBytes: number;
  /** A whole request has to arrive within this. */
  readonly requestTimeoutMs: Ms;
  /** An answer that is not a stream is held until it is whole, up to this size. */
  readonly heldAnswerBytes: number;
  /** Sent text that is held so that another engine can continue a broken stream. */
  readonly continuationBytes: number;
  /** A stream without any frame for so long is broken. */
  readonly stallMs: Ms;
  /** A caller that takes nothing for so long is disconnected. */
  readonly callerStallMs: Ms;
  /** How long after its deadline an answer that has begun upstream is still waited for. */
  readonly lateAnswerMs: Ms;
}
