import { request } from 'undici';
import type { Outcome } from './outcome.js';
import { problemOf } from './problemof.js';

/** A call of a plain service, and a part of the answer by which it is known to be its own. */
interface PlainCall {
  readonly url: string;
  readonly key: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly expected: string;
  readonly timeoutMs: number;
}

/** Calls a plain service once. */
export async function askPlain(call: PlainCall): Promise<Outcome> {
  const startMs = performance.now();
  const since = () => performance.now() - startMs;
  try {
    const answer = await request(call.url, {
      method: call.method,
      headers: { ...call.headers, authorization: `Bearer ${call.key}` },
      body: call.body,
      signal: AbortSignal.timeout(call.timeoutMs),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) return problemOf(text, since());
    return { type: text.includes(call.expected) ? 'answered' : 'cut', tookMs: since() };
  } catch {
    return { type: 'lost', tookMs: since() };
  }
}
