import { request } from 'undici';
import type { Outcome } from './outcome.js';
import { outcomeOfProblem } from './outcomeofproblem.js';

/** A call of a plain service. */
interface PlainCall {
  readonly url: string;
  readonly key: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Text by which the answer is recognised as that to this call. */
  readonly expected: string;
  readonly timeoutMs: number;
}

/** Calls a plain service once and returns the outcome. */
export async function callPlainService(call: PlainCall): Promise<Outcome> {
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
    if (answer.statusCode !== 200) return outcomeOfProblem(text, since());
    return { type: text.includes(call.expected) ? 'answered' : 'cut', tookMs: since() };
  } catch {
    return { type: 'lost', tookMs: since() };
  }
}
