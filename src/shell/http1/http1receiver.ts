import type { Failure } from '../../base/index.js';

/** Why a call got no whole answer. */
interface Http1Failure extends Failure {
  readonly type: 'connection-failed' | 'connection-lost' | 'withheld';
  /** False only if not one byte of the request can have left this process. */
  readonly sent: boolean;
}

/** Takes the answer to one call, in this order: `head`, `data` as often as needed, `end`; or `failed`. */
export interface Http1Receiver {
  /**
   * `headers` alternates names (as received) and values. Without a length the answer ends with its
   * connection: its end does not show that it is whole.
   */
  head(status: number, headers: readonly string[], hasLength: boolean): void;
  /** Returns false to stop the flow until `Http1Sent.resume` is called. */
  data(chunk: Buffer): boolean;
  end(): void;
  failed(failure: Http1Failure): void;
}
