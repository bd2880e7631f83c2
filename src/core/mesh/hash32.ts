import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** The same number for the same text in every process; used to rank and to compare, not to protect. */
export function hash32(text: string): number {
  return h32(text);
}
