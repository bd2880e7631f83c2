const MULTIPLIER = 31;
/** The largest prime below 2^32, so that products are exact in a double. */
const MODULUS = 4_294_967_291;

/** Hashes text to a number below 2^32, optionally continuing from an earlier hash. */
export function foldText(text: string, from = 1): number {
  let hash = from;
  for (let index = 0; index < text.length; index += 1) {
    hash = (hash * MULTIPLIER + text.charCodeAt(index)) % MODULUS;
  }
  return hash;
}
