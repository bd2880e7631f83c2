import { request } from 'undici';
import { benchDocument } from './benchdocument.js';

/** Result of a streamed request. */
interface StreamResult {
  readonly firstTokenMs: number;
  readonly bodyBytes: number;
  readonly isComplete: boolean;
}

/** Requests a stream from an entry, or directly from an engine, and reads it to its end. */
export async function requestStream(url: string, maxTokens: number): Promise<StreamResult> {
  const startMs = performance.now();
  const ask = { model: 'notice-1', stream: true, max_tokens: maxTokens };
  const answer = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${benchDocument.key}` },
    body: JSON.stringify({ ...ask, messages: [{ role: 'user', content: 'hello' }] }),
  });
  let firstTokenMs = 0;
  let bodyBytes = 0;
  let last = '';
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    firstTokenMs ||= performance.now() - startMs;
    bodyBytes += chunk.length;
    last = chunk.toString();
  }
  return { firstTokenMs, bodyBytes, isComplete: last.endsWith('data: [DONE]\n\n') };
}
