const MULTIPLIER = 31;
/** The largest prime below 2^32: products stay exact in a double. */
const MODULUS = 4_294_967_291;

/** Folds text into a hash below 2^32, going on from an earlier hash if one is given. */
export function foldText(text: string, from = 1): number {
  let hash = from;
  for (let index = 0; index < text.length; index += 1) {
    hash = (hash * MULTIPLIER + text.charCodeAt(index)) % MODULUS;
  }
  return hash;
}
