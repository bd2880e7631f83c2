import { request } from 'undici';
import { expectedAnswer } from '../../standin/index.js';
import type { Outcome } from './outcome.js';
import { outcomeOfProblem } from './outcomeofproblem.js';

const DONE = 'data: [DONE]';
const ERROR = 'event: error';

interface Stream {
  readonly entry: string;
  readonly key: string;
  readonly model: string;
  readonly kind: string;
  readonly prompt: string;
  readonly tokens: number;
  readonly timeoutMs: number;
}

function contentOf(body: string): string {
  const events = body.split('\n').filter((line) => line.startsWith('data: {'));
  const deltas = events.map((line) => {
    const { choices } = JSON.parse(line.slice('data: '.length)) as {
      choices?: { delta?: { content?: string } }[];
    };
    return choices?.[0]?.delta?.content ?? '';
  });
  return deltas.join('');
}

function outcomeOf(body: string, stream: Stream, firstMs: number, requestId: string): Outcome {
  const [answer = '', problem] = body.split(ERROR);
  if (problem !== undefined) {
    return outcomeOfProblem(problem.split('data: ')[1] ?? '', firstMs);
  }
  const isComplete = answer.includes(DONE);
  const isCorrect = contentOf(answer) === expectedAnswer(stream.prompt, stream.tokens);
  return { type: isComplete && isCorrect ? 'answered' : 'cut', tookMs: firstMs, requestId };
}

/** Requests a streamed answer and compares its content with the answer that every engine gives to the prompt. */
export async function requestStream(stream: Stream): Promise<Outcome> {
  const startMs = performance.now();
  const since = () => performance.now() - startMs;
  let body = '';
  let firstMs = 0;
  let requestId = '';
  try {
    const answer = await request(`${stream.entry}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${stream.key}`, 'tarragonstile-kind': stream.kind },
      body: JSON.stringify({
        model: stream.model,
        stream: true,
        messages: [{ role: 'user', content: stream.prompt }],
      }),
      signal: AbortSignal.timeout(stream.timeoutMs),
    });
    if (answer.statusCode !== 200) return outcomeOfProblem(await answer.body.text(), since());
    requestId = String(answer.headers['x-request-id'] ?? '');
    for await (const chunk of answer.body) {
      if (body === '') firstMs = since();
      body += String(chunk);
    }
  } catch {
    return { type: body === '' ? 'lost' : 'cut', tookMs: since(), requestId };
  }
  return outcomeOf(body, stream, firstMs, requestId);
}
