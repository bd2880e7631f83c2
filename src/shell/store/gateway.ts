import { Agent, request } from 'undici';
import type { Result } from 'ts-results';
import { result, type Ms } from '../../base/index.js';
import type { StoreFailure } from '../../port/index.js';
import { maxAnswerBytes, readText } from '../body/index.js';
import { gatewayFailure } from './gatewayfailure.js';
import { sendFailure } from './sendfailure.js';

const OK = 200;
const CONNECTIONS = 4;

/** Client of the store's JSON gateway. Uses one URL until it cannot be reached, then the next. */
export class Gateway {
  private readonly calls = new Agent({ connections: CONNECTIONS });

  /** Separate from `calls`, since each stream occupies a connection. */
  private readonly streams = new Agent({ bodyTimeout: 0 });

  private urlIndex = 0;

  constructor(
    private readonly urls: readonly string[],
    private readonly timeoutMs: Ms,
  ) {}

  async call<Answer>(
    kind: 'read' | 'write',
    path: string,
    message: object,
  ): Promise<Result<Answer, StoreFailure>> {
    try {
      const response = await request(`${this.url()}${path}`, {
        method: 'POST',
        body: JSON.stringify(message),
        dispatcher: this.calls,
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const body = await readText(response.body);
      if (response.statusCode === OK) return result.Ok(JSON.parse(body) as Answer);
      return result.Err(gatewayFailure(kind, response.statusCode, body));
    } catch (thrown) {
      this.urlIndex += 1;
      return result.Err(sendFailure(kind, thrown));
    }
  }

  /** Yields the messages of a streaming call until the stream ends. Throws if it breaks. */
  async *stream(path: string, message: object, signal: AbortSignal): AsyncIterable<unknown> {
    try {
      const response = await request(`${this.url()}${path}`, {
        method: 'POST',
        body: JSON.stringify(message),
        dispatcher: this.streams,
        signal,
      });
      if (response.statusCode !== OK) this.urlIndex += 1;
      response.body.setEncoding('utf8');
      let rest = '';
      for await (const chunk of response.body) {
        const lines = String(chunk).split('\n');
        lines[0] = rest + lines[0];
        rest = lines.pop()!;
        for (const line of lines) yield JSON.parse(line);
        if (rest.length > maxAnswerBytes) {
          throw new RangeError('A message of the store is too large.');
        }
      }
    } catch (thrown) {
      this.urlIndex += 1;
      throw thrown;
    }
  }

  async close(): Promise<void> {
    await this.calls.destroy();
    await this.streams.destroy();
  }

  private url(): string {
    return this.urls[this.urlIndex % this.urls.length] ?? '';
  }
}
