import type { Result } from 'ts-results';
import { result, type Clock, type Failure, type Ms } from '../../base/index.js';
import type { Channel } from './channel.js';
import type { Http1Call } from './http1call.js';

/** A complete answer. */
interface Http1Answer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Failure of a call without a complete answer. */
interface CallFailure extends Failure {
  readonly type: 'call-failed';
  /** False only if the request cannot have reached the peer. */
  readonly sent: boolean;
  /** Bytes of the answer's body that arrived before the call failed. */
  readonly receivedBytes: number;
}

/** Makes one call and collects its answer. After `timeoutMs` the connection is closed and the call fails. */
export function callOnce(
  channel: Channel,
  call: Http1Call,
  clock: Clock,
  timeoutMs: Ms,
): Promise<Result<Http1Answer, CallFailure>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    let status = 0;
    let headers: readonly string[] = [];
    const fail = (detail: string, sent: boolean) =>
      resolve(result.Err({ type: 'call-failed', detail, sent, receivedBytes }));
    let cancelTimeout = () => {};
    const sent = channel.send(call, {
      head(gotStatus, gotHeaders) {
        status = gotStatus;
        headers = gotHeaders;
      },
      data(chunk) {
        chunks.push(chunk);
        receivedBytes += chunk.length;
        return true;
      },
      end() {
        cancelTimeout();
        resolve(result.Ok({ status, headers, body: Buffer.concat(chunks) }));
      },
      failed(failure) {
        cancelTimeout();
        fail(failure.detail, failure.sent);
      },
    });
    if (!sent) {
      fail('Every connection is in use.', false);
      return;
    }
    cancelTimeout = clock.after(timeoutMs, () => {
      const { isSent } = sent;
      sent.cancel();
      fail(`No answer within ${timeoutMs} ms.`, isSent);
    });
  });
}
