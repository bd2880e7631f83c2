import type { Pool } from 'undici';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { AnswerStream, EngineFailure, PlainService } from '../../port/index.js';
import { discard } from './discard.js';
import { failureOf } from './failureof.js';
import { httpAnswer } from './httpanswer.js';
import { upstreamPool } from './upstreampool.js';

const asOnePiece = (chunk: Buffer) => ({ payload: chunk, tokenCount: 0 });

const wrongAnswer: EngineFailure = {
  type: 'upstream-wrong-answer',
  detail: 'The service sent the answer to another request.',
  executed: 'unknown',
};

/** Driver of a plain HTTP service. */
export class HttpService implements PlainService {
  private readonly pool: Pool;

  constructor(url: string, connections: number) {
    this.pool = upstreamPool(url, connections);
  }

  async call(
    call: Parameters<PlainService['call']>[0],
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>> {
    const headers = Object.fromEntries(call.headers.map(({ name, value }) => [name, value]));
    try {
      const response = await this.pool.request({
        method: call.method,
        path: call.path,
        headers: { ...headers, 'x-request-id': call.requestId },
        body: call.body.length > 0 ? call.body : undefined,
        signal,
      });
      const echoed = response.headers['x-request-id'];
      if (echoed !== undefined && echoed !== call.requestId) {
        discard(response);
        return result.Err(wrongAnswer);
      }
      return result.Ok(httpAnswer(response, { split: asOnePiece }));
    } catch (thrown) {
      return result.Err(failureOf(thrown, signal));
    }
  }

  async close(): Promise<void> {
    await this.pool.close();
  }
}
