import type { CompletionRequest } from './completionrequest.js';

/** Maximum length of the hashed part of a prompt; what follows is rarely shared between requests. */
const BLOCK_LENGTH = 1024;

function textOf(part: unknown): string {
  if (typeof part === 'string') return part;
  return part === undefined ? '' : JSON.stringify(part);
}

/** Returns the start of a prompt that other requests are likely to share: the first message, if there are messages. */
export function leadingBlock({ messages, prompt }: CompletionRequest): string {
  const first = Array.isArray(messages) ? textOf(messages[0]?.content) : textOf(prompt);
  return first.slice(0, BLOCK_LENGTH);
}
