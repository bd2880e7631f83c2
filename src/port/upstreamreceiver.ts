import type { Failure } from '../base/index.js';
import type { SelfReport } from './selfreport.js';

/** What an upstream's answer says before its body. */
interface UpstreamHead {
  readonly status: number;
  /** Alternates names and values; only what a caller may see. */
  readonly headers: readonly string[];
  /** True if the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** True if the whole head shows that this is the upstream's answer to this request. */
  readonly isOwn: boolean;
  /** False if the answer ends with its connection: nothing shows then that it is whole. */
  readonly hasLength: boolean;
  /** Requests that run and wait there, where it says. */
  readonly load?: { readonly running: number; readonly waiting: number };
  readonly weightsVersion?: string;
  /** What the upstream says of itself; absent where another start than the one that was asked answers. */
  readonly said?: SelfReport;
}

/** Why no whole answer came. */
interface UpstreamLinkFailure extends Failure {
  readonly type:
    | 'upstream-unreachable'
    | 'upstream-lost'
    | 'upstream-wrong-answer'
    /** Its sender no longer wanted it to leave: this says nothing of the upstream. */
    | 'request-withheld';
  /** True unless not one byte of the request left this process. */
  readonly mayHaveRun: boolean;
}

/** Takes an answer. */
export interface UpstreamReceiver {
  head(head: UpstreamHead): void;
  /** Returns false to stop the flow until `resume`. */
  data(chunk: Buffer): boolean;
  end(): void;
  failed(failure: UpstreamLinkFailure): void;
}
