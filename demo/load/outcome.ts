/** How a request ended for its caller. */
export interface Outcome {
  readonly type:
    /** The complete, correct answer. */
    | 'answered'
    /** A refusal that promises that the request has not run. */
    | 'refused'
    /** An explicit end without an answer; the request may have run. */
    | 'unknown'
    /** An answer that broke off without an error, or was wrong. */
    | 'cut'
    /** No answer at all. */
    | 'lost';
  /** Time to the first token of a stream, or to the complete answer of a plain service. */
  readonly tookMs: number;
  /** The system's id of the request, if the answer had one. */
  readonly requestId?: string;
  /** Type of the refusal. */
  readonly reason?: string;
}
