import type { PrefixCache } from './prefixcache.js';

const KEPT_EVENTS = 1000;

/** Looks a prompt up and stores it: how many leading blocks were held, and the cache afterwards. */
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
  const note = (type: 'stored' | 'evicted', block: number) => {
    lastSequence += 1;
    events.push({ sequence: lastSequence, type, prefixHash: block.toString(16) });
  };
  for (const block of blocks) {
    if (!held.delete(block)) note('stored', block);
    held.add(block);
  }
  for (const oldest of held) {
    if (held.size <= capacity) break;
    held.delete(oldest);
    note('evicted', oldest);
  }
  return { hits, cache: { blocks: held, lastSequence, events: events.slice(-KEPT_EVENTS) } };
}
