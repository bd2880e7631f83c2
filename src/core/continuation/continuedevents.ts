import { dataOf, eventsOf, idOf, type StreamEvent } from '../eventstream/index.js';
import type { Chunk } from './chunk.js';
import { chunkOf } from './chunkof.js';
import type { StreamTemplate } from './streamtemplate.js';

type Line = StreamEvent['lines'][number];

const NUMBER = /^\d+$/;
const ID = /"id":\s*"[^"]*"/;
const CREATED = /"created":\s*\d+/;
const FINGERPRINT = /"system_fingerprint":\s*"[^"]*"/;
const PROMPT_TOKENS = /"prompt_tokens":\s*(\d+)/;
const COMPLETION_TOKENS = /"completion_tokens":\s*(\d+)/;

/** True for an opening chunk that only names the role; the caller got one from the first attempt. */
function isOpening({ choices, usage }: Chunk): boolean {
  const [choice] = choices ?? [];
  if (!choice?.delta?.role || usage) return false;
  return !choice.delta.content && !choice.finish_reason;
}

function put(data: string, pattern: RegExp, value: unknown, text: string): string {
  return value === undefined ? data : data.replace(pattern, () => text);
}

function textOf({ name, text }: Line): string {
  return name === undefined ? text : `${name}: ${text}`;
}

/**
 * Rewrites the events of an engine that continues an answer, so that the caller's stream equals an unbroken
 * one: same id and creation time, consecutive event ids, one opening chunk, and a usage that counts the
 * earlier tokens as completion tokens instead of prompt tokens.
 */
export function continuedEvents(
  { id, created, fingerprint, lastEventId }: StreamTemplate,
  earlierTokens: number,
): (payload: Buffer) => Buffer {
  let eventId = lastEventId;
  const recount = (data: string) =>
    data
      .replace(PROMPT_TOKENS, (_all, count) => `"prompt_tokens":${Number(count) - earlierTokens}`)
      .replace(
        COMPLETION_TOKENS,
        (_all, count) => `"completion_tokens":${Number(count) + earlierTokens}`,
      );
  const rewriteData = (data: string, { usage }: Chunk): string => {
    const named = put(data, ID, id, `"id":"${id}"`);
    const dated = put(named, CREATED, created, `"created":${created}`);
    const marked = put(dated, FINGERPRINT, fingerprint, `"system_fingerprint":"${fingerprint}"`);
    return usage ? recount(marked) : marked;
  };
  const rewriteLine = (line: Line, chunk: Chunk): Line => {
    if (line.name === 'data') return { ...line, text: rewriteData(line.text, chunk) };
    if (line.name === 'id' && NUMBER.test(line.text) && eventId !== undefined) {
      return { ...line, text: String(eventId) };
    }
    return line;
  };
  const rewrite = (event: StreamEvent): string => {
    const chunk = chunkOf(dataOf(event));
    if (chunk && isOpening(chunk)) return '';
    if (chunk && eventId !== undefined && NUMBER.test(idOf(event) ?? '')) eventId += 1;
    const lines = chunk ? event.lines.map((line) => rewriteLine(line, chunk)) : event.lines;
    return `${lines.map(textOf).join('\n')}\n\n`;
  };
  return (payload) => Buffer.from(eventsOf(payload).map(rewrite).join(''));
}
