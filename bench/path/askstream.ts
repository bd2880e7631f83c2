import { request } from 'undici';
import { benchDocument } from './benchdocument.js';

/** How one streamed request went. */
interface Asked {
  readonly firstTokenMs: number;
  readonly bodyBytes: number;
  readonly whole: boolean;
}

/** Asks for a stream at an entry, or at the engine itself, and reads it to its end. */
export async function askStream(url: string, maxTokens: number): Promise<Asked> {
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
  return { firstTokenMs, bodyBytes, whole: last.endsWith('data: [DONE]\n\n') };
}
