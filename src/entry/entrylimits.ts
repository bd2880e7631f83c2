import type { Ms } from '../base/index.js';

/** Limits that one entry imposes on callers. */
export interface EntryLimits {
  /** Requests in flight at this entry. */
  readonly inFlight: number;
  /** Requests in flight for one customer, unless the service document sets another limit. */
  readonly inFlightPerCustomer: number;
  /** Open caller connections. */
  readonly connections: number;
  /** Requests of one connection that are read and not answered; no more are read on it then. */
  readonly requestsAhead: number;
  /** Requests of one connection that are served at a time; those behind them wait. */
  readonly requestsUnderWay: number;
  /** Memory that the requests of all callers may take together. */
  readonly callerMemoryBytes: number;
  /** Total size of the headers of one request. */
  readonly headerBytes: number;
  /** Time within which a complete request has to arrive. */
  readonly requestTimeoutMs: Ms;
  /** An answer that is not a stream is buffered until it is complete, up to this size. */
  readonly heldAnswerBytes: number;
  /** Memory that all such answers may take together; past it the largest is sent as it arrives. */
  readonly heldAnswersBytes: number;
  /** Sent text that is buffered per stream, so that another engine can continue it after a failure. */
  readonly continuationBytes: number;
  /** A stream that receives no frame for this long counts as broken. */
  readonly stallMs: Ms;
  /** A caller that reads nothing for this long is disconnected. */
  readonly callerStallMs: Ms;
  /** How long past its deadline a request that was sent to an upstream still waits for a first part of the answer. */
  readonly lateAnswerMs: Ms;
}
