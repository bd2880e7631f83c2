import type { Chunk } from './chunk.js';

const DATA = /^data: ?(\{.*\})$/m;

/** The chunk that an event carries; undefined for `[DONE]` and comments. */
export function chunkOf(event: string): Chunk | undefined {
  const json = DATA.exec(event)?.[1];
  return json === undefined ? undefined : (JSON.parse(json) as Chunk);
}
