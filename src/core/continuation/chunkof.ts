import type { Chunk } from './chunk.js';

const DATA = /^data: ?(\{.*\})$/m;

/** Parses the chunk in an event; undefined for `[DONE]` and comments. */
export function chunkOf(event: string): Chunk | undefined {
  const json = DATA.exec(event)?.[1];
  return json === undefined ? undefined : (JSON.parse(json) as Chunk);
}
