import type { Failure } from '../base/index.js';
import type { SelfReport } from './selfreport.js';

/** Head of an upstream's answer. */
interface UpstreamHead {
  readonly status: number;
  /** Alternating names and values; only headers that may be passed to the caller. */
  readonly headers: readonly string[];
  /** True if the upstream states that the request was not run. */
  readonly isNotRun: boolean;
  /** True if the head proves that this is the upstream's answer to this request. */
  readonly isForRequest: boolean;
  /** False if the end of the connection ends the answer: a truncated answer cannot be detected then. */
  readonly hasLength: boolean;
  /** True if a last chunk ends the answer, which an upstream sends only if it has finished the answer. */
  readonly isChunked?: boolean;
  /** Numbers of running and waiting requests at the upstream, if it reports them. */
  readonly load?: {
    readonly running: number;
    readonly waiting: number;
    /** How long work takes there now, in percent of the usual time; absent if it is missing or unreadable. */
    readonly workPercent?: number;
  };
  readonly weightsVersion?: string;
  /** The upstream's report of its own state; absent if the answer is from another start of the upstream. */
  readonly selfReport?: SelfReport;
}

/** Why there was no complete answer. */
interface UpstreamLinkFailure extends Failure {
  readonly type:
    | 'upstream-unreachable'
    | 'upstream-lost'
    | 'upstream-wrong-answer'
    /** The sender withdrew the request before it was sent; the upstream is not at fault. */
    | 'request-withheld'
    /** The request cannot be written, whatever the upstream. */
    | 'request-unsendable';
  /** False only if no byte of the request has left this process. */
  readonly mayHaveRun: boolean;
}

/** Receives an answer. */
export interface UpstreamReceiver {
  head(head: UpstreamHead): void;
  /** Returns false to pause the answer until `resume` is called. */
  data(chunk: Buffer): boolean;
  end(): void;
  failed(failure: UpstreamLinkFailure): void;
}
