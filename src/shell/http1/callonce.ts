import type { Result } from 'ts-results';
import { result, type Clock, type Failure, type Ms } from '../../base/index.js';
import { BodyBuffer } from '../body/index.js';
import { afterReads } from '../loop/index.js';
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

/** Bound on the body of an answer that is collected: some times the largest one between entries. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Limits of an answer, beside the time without a part of it. */
interface AnswerLimits {
  readonly maxBytes?: number;
  /**
   * Bound on the whole call, for answers that are small. Of a large one on a slow link it would discard what has arrived,
   * and the same request would then be repeated without end.
   */
  readonly wholeMs?: Ms;
}

/**
 * Makes one call and collects its answer. Once nothing of the answer has arrived for `timeoutMs`, the connection is
 * closed and the call fails.
 */
export function callOnce(
  channel: Channel,
  call: Http1Call,
  clock: Clock,
  timeoutMs: Ms,
  { maxBytes = MAX_ANSWER_BYTES, wholeMs = Infinity }: AnswerLimits = {},
): Promise<Result<Http1Answer, CallFailure>> {
  return new Promise((resolve) => {
    const body = new BodyBuffer(maxBytes, undefined);
    let receivedBytes = 0;
    let status = 0;
    let headers: readonly string[] = [];
    const startedAtMs = clock.nowMs();
    let arrivedAtMs = startedAtMs;
    let cancelTimeout = () => {};
    let isOver = false;
    const end = (outcome: Result<Http1Answer, CallFailure>) => {
      isOver = true;
      body.clear();
      cancelTimeout();
      resolve(outcome);
    };
    const fail = (detail: string, sent: boolean) =>
      end(result.Err({ type: 'call-failed', detail, sent, receivedBytes }));
    const sent: ReturnType<Channel['send']> = channel.send(call, {
      head(gotStatus, gotHeaders) {
        arrivedAtMs = clock.nowMs();
        status = gotStatus;
        headers = gotHeaders;
      },
      data(chunk) {
        arrivedAtMs = clock.nowMs();
        receivedBytes += chunk.length;
        if (!body.add(chunk)) {
          sent?.cancel();
          fail(`The answer has more than ${maxBytes} bytes.`, true);
        }
        return true;
      },
      end() {
        end(result.Ok({ status, headers, body: body.take() }));
      },
      failed(failure) {
        fail(failure.detail, failure.sent);
      },
    });
    if (!sent) {
      fail('Every connection is in use.', false);
      return;
    }
    const giveUp = () => {
      const { isSent = false } = sent ?? {};
      sent?.cancel();
      const isWhole = clock.nowMs() >= startedAtMs + wholeMs;
      const missing = status === 0 ? 'No answer' : 'No more of the answer';
      const detail = isWhole
        ? `The answer was not complete within ${wholeMs} ms.`
        : `${missing} within ${timeoutMs} ms.`;
      fail(detail, isSent);
    };
    const endsAtMs = () => Math.min(arrivedAtMs + timeoutMs, startedAtMs + wholeMs);
    const checkAfter = (ms: Ms) => {
      const check = () => {
        if (isOver) return;
        const leftMs = endsAtMs() - clock.nowMs();
        if (leftMs > 0) checkAfter(leftMs);
        else giveUp();
      };
      // The answer may lie in the socket: after a stall, timers run before sockets are read.
      cancelTimeout = clock.after(ms, () => afterReads(clock, check));
    };
    checkAfter(timeoutMs);
  });
}
