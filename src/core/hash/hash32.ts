import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** Returns the xxHash of a text, from 0 to 2^32 - 1; the same in every process. */
export function hash32(text: string, seed = 0): number {
  return h32(text, seed);
}
