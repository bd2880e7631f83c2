import type { Chunk } from './chunk.js';
import { chunkOf } from './chunkof.js';
import { eventsOf } from './eventsof.js';
import type { StreamTemplate } from './streamtemplate.js';

const EVENT_ID = /^id: ?\d+$/m;
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

function put(event: string, pattern: RegExp, value: unknown, text: string): string {
  return value === undefined ? event : event.replace(pattern, () => text);
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
  const renumber = (event: string) => {
    if (eventId === undefined || !EVENT_ID.test(event)) return event;
    eventId += 1;
    return event.replace(EVENT_ID, `id: ${eventId}`);
  };
  const recount = (event: string) =>
    event
      .replace(PROMPT_TOKENS, (_all, count) => `"prompt_tokens":${Number(count) - earlierTokens}`)
      .replace(
        COMPLETION_TOKENS,
        (_all, count) => `"completion_tokens":${Number(count) + earlierTokens}`,
      );
  const rewrite = (event: string): string => {
    const chunk = chunkOf(event);
    if (!chunk) return `${event}\n\n`;
    if (isOpening(chunk)) return '';
    const named = put(renumber(event), ID, id, `"id":"${id}"`);
    const dated = put(named, CREATED, created, `"created":${created}`);
    const marked = put(dated, FINGERPRINT, fingerprint, `"system_fingerprint":"${fingerprint}"`);
    return `${chunk.usage ? recount(marked) : marked}\n\n`;
  };
  return (payload) => Buffer.from(eventsOf(payload).map(rewrite).join(''));
}
