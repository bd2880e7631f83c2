import type { PrefixCache } from './prefixcache.js';

const KEPT_EVENTS = 1000;

/** Looks up a prompt and stores it. Returns the number of leading blocks found and the updated cache. */
export function useCache(
  cache: PrefixCache,
  blocks: readonly number[],
  capacity: number,
): { readonly hits: number; readonly cache: PrefixCache } {
  const firstMiss = blocks.findIndex((block) => !cache.blocks.has(block));
  const hits = firstMiss < 0 ? blocks.length : firstMiss;
  if (blocks.length === 0) return { hits, cache };
  const held = new Set(cache.blocks);
  const events = [...cache.events];
  let { lastSequence } = cache;
  const record = (type: 'stored' | 'evicted', block: number) => {
    lastSequence += 1;
    events.push({ sequence: lastSequence, type, prefixHash: block.toString(16) });
  };
  for (const block of blocks) {
    if (!held.delete(block)) record('stored', block);
    held.add(block);
  }
  for (const oldest of held) {
    if (held.size <= capacity) break;
    held.delete(oldest);
    record('evicted', oldest);
  }
  return { hits, cache: { blocks: held, lastSequence, events: events.slice(-KEPT_EVENTS) } };
}
