import type { Asked } from './asked.js';

/** Longest part of a prompt that is hashed: what follows rarely is shared between requests. */
const BLOCK_LENGTH = 1024;

function textOf(part: unknown): string {
  if (typeof part === 'string') return part;
  return part === undefined ? '' : JSON.stringify(part);
}

/** The start of a prompt that other requests are likely to share: its first message, as a rule. */
export function leadingBlock({ messages, prompt }: Asked): string {
  const first = Array.isArray(messages) ? textOf(messages[0]?.content) : textOf(prompt);
  return first.slice(0, BLOCK_LENGTH);
}
