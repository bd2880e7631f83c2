import { hash32 } from './hash32.js';

/**
 * Orders candidates for a key by rendezvous hashing (highest random weight). Every process computes the
 * same order. Adding or removing a candidate moves only the keys that rank it first.
 */
export function rendezvous<Id extends string>(key: string, candidates: readonly Id[]): Id[] {
  const seed = hash32(key);
  return candidates
    .map((id) => ({ id, weight: hash32(id, seed) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}
