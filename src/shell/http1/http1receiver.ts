import type { Failure } from '../../base/index.js';

/** Failure of a call that got no complete answer. */
interface Http1Failure extends Failure {
  readonly type:
    | 'connection-failed'
    | 'connection-lost'
    /** The peer has sent something else than an answer; this side has closed the connection. */
    | 'answer-malformed'
    | 'withheld'
    /** The call cannot be written, whatever the peer. */
    | 'call-invalid';
  /** False only if no byte of the request can have left this process. */
  readonly sent: boolean;
}

/** What ends the body of an answer: its length, a last chunk or the end of the connection. */
type Framing = 'length' | 'chunks' | 'connection';

/** Receives the answer to one call: `head`, any number of `data`, then `end`; or `failed` at any point. */
export interface Http1Receiver {
  /**
   * `headers` alternates names (as received) and values. An answer that is framed by its connection ends when this
   * closes, which does not prove that it is complete.
   */
  head(status: number, headers: readonly string[], framing: Framing): void;
  /** Returns false to pause the answer until `Http1Exchange.resume` is called. */
  data(chunk: Buffer): boolean;
  end(): void;
  failed(failure: Http1Failure): void;
}
