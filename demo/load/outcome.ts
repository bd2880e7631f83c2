/** What a caller was told in the end. */
export interface Outcome {
  readonly type:
    /** The whole, right answer. */
    | 'answered'
    /** A refusal that promises that nothing was run. */
    | 'refused'
    /** An explicit end that says that nobody can tell. */
    | 'unknown'
    /** An answer that broke off without a word, or was not the right one. */
    | 'cut'
    /** No answer at all. */
    | 'lost';
  /** Arrival to the first token, or to the whole answer of a plain service. */
  readonly tookMs: number;
  /** The system's id of the request, if it was told. */
  readonly requestId?: string;
  /** Type of the refusal. */
  readonly reason?: string;
}
