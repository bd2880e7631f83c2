import type { Dispatcher, Pool } from 'undici';
import type { Result } from 'ts-results';
import { result, type RequestId } from '../../base/index.js';
import type {
  AnswerStream,
  CacheEvents,
  Engine,
  EngineFailure,
  EngineReport,
  Generation,
  Order,
} from '../../port/index.js';
import { maxAnswerBytes, readWithin } from '../body/index.js';
import { continuedBody } from './continuedbody.js';
import { engineAnswer } from './engineanswer.js';
import { failureOf } from './failureof.js';
import { upstreamPool } from './upstreampool.js';

const ADMIN_TIMEOUT_MS = 2000;

/** Driver of an OpenAI-compatible engine over HTTP. docs/ENGINES.md lists the admin paths. */
export class HttpEngine implements Engine {
  private readonly pool: Pool;

  constructor(url: string, connections: number) {
    this.pool = upstreamPool(url, connections);
  }

  generate(
    generation: Generation,
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>> {
    return this.stream(generation, {}, signal);
  }

  resume(
    generation: Generation,
    resumeToken: string,
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>> {
    return this.stream(generation, { 'last-event-id': resumeToken }, signal);
  }

  async cancel(requestId: RequestId): Promise<Result<void, EngineFailure>> {
    const answer = await this.admin('POST', `/admin/requests/${requestId}/cancel`);
    return answer.map(() => undefined);
  }

  async order(order: Order): Promise<Result<void, EngineFailure>> {
    const answer = await this.admin('POST', '/admin/orders', JSON.stringify(order));
    return answer.map(() => undefined);
  }

  async report(): Promise<Result<EngineReport, EngineFailure>> {
    const answer = await this.admin('GET', '/admin/report');
    return answer.map((body) => JSON.parse(body.toString()) as EngineReport);
  }

  async cacheEvents(afterSequence: number): Promise<Result<CacheEvents, EngineFailure>> {
    const answer = await this.admin('GET', `/admin/cache-events?after=${afterSequence}`);
    return answer.map((body) => JSON.parse(body.toString()) as CacheEvents);
  }

  exportCache(
    requestId: RequestId,
    limitBytes: number,
  ): Promise<Result<Uint8Array, EngineFailure>> {
    return this.admin('GET', `/admin/requests/${requestId}/cache`, undefined, limitBytes);
  }

  async importCache(requestId: RequestId, cache: Uint8Array): Promise<Result<void, EngineFailure>> {
    const answer = await this.admin('PUT', `/admin/requests/${requestId}/cache`, cache);
    return answer.map(() => undefined);
  }

  async close(): Promise<void> {
    await this.pool.close();
  }

  private async stream(
    generation: Generation,
    extraHeaders: Record<string, string>,
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>> {
    const { path, continuation } = generation;
    const body = continuation
      ? continuedBody(path, generation.body, continuation)
      : generation.body;
    if (!body) {
      const detail = 'Requests of this kind cannot be continued.';
      return result.Err({ type: 'upstream-unsupported', detail, executed: 'no' });
    }
    try {
      const response = await this.pool.request({
        method: 'POST',
        path,
        headers: {
          'content-type': 'application/json',
          'x-request-id': generation.requestId,
          'x-priority': String(generation.priority),
          ...extraHeaders,
        },
        body,
        signal,
      });
      return await engineAnswer(response, generation);
    } catch (thrown) {
      return result.Err(failureOf(thrown, signal));
    }
  }

  private async admin(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string | Uint8Array,
    limitBytes = maxAnswerBytes,
  ): Promise<Result<Buffer, EngineFailure>> {
    const signal = AbortSignal.timeout(ADMIN_TIMEOUT_MS);
    try {
      const headers = { 'content-type': 'application/json' };
      const response = await this.pool.request({ method, path, body, headers, signal });
      const answer = await readWithin(response.body, limitBytes);
      if (!answer) {
        const detail = `The answer is larger than ${limitBytes} bytes.`;
        return result.Err({ type: 'upstream-unsupported', detail, executed: 'no' });
      }
      if (response.statusCode < 300) return result.Ok(answer);
      const type = response.statusCode === 412 ? 'upstream-fenced' : 'upstream-refused';
      return result.Err({ type, detail: answer.toString().slice(0, 200), executed: 'no' });
    } catch (thrown) {
      return result.Err(failureOf(thrown, signal));
    }
  }
}
