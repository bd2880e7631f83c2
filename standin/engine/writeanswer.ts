import type { Answer } from './answer.js';

function choice(answer: Answer, text: string, isLast: boolean): object {
  const finish = { index: 0, finish_reason: isLast ? 'stop' : null };
  if (!answer.path.includes('chat')) return { ...finish, text };
  if (answer.stream) return { ...finish, delta: { content: text } };
  return { ...finish, message: { role: 'assistant', content: text } };
}

function bodyOf(answer: Answer, text: string, isLast: boolean): object {
  const { requestId: id, model } = answer;
  const object = answer.path.includes('chat') ? 'chat.completion' : 'text_completion';
  return { id, object, model, choices: [choice(answer, text, isLast)] };
}

function closeStream(answer: Answer): void {
  answer.response?.end('data: [DONE]\n\n');
}

/** Writes answers in OpenAI's format: as server-sent events with the token index as id, or as one document. */
export const writeAnswer = {
  start({ response, requestId, stream }: Answer): void {
    response?.setHeader('x-request-id', requestId);
    response?.setHeader('content-type', stream ? 'text/event-stream' : 'application/json');
    if (stream) response?.flushHeaders();
  },

  token(answer: Answer, index: number): void {
    if (!answer.stream) return;
    const isLast = index + 1 === answer.wanted;
    const data = JSON.stringify(bodyOf(answer, answer.tokens[index] ?? '', isLast));
    answer.response?.write(`id: ${index}\ndata: ${data}\n\n`);
  },

  end(answer: Answer): void {
    if (answer.stream) {
      closeStream(answer);
      return;
    }
    const usage = {
      prompt_tokens: answer.promptTokens,
      completion_tokens: answer.tokens.length,
      total_tokens: answer.promptTokens + answer.tokens.length,
    };
    const body = { ...bodyOf(answer, answer.tokens.join(''), true), usage };
    answer.response?.end(JSON.stringify(body));
  },
};
