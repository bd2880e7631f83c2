import { VOCABULARY } from './vocabulary.js';

const NUMBERS = 97;

/**
 * The token that follows a text with this hash. It depends on the whole text before it, as with greedy
 * decoding, so a text that is continued anywhere ends in the same bytes.
 */
export function nextToken(textHash: number): string {
  return ` ${VOCABULARY[textHash % VOCABULARY.length]}${textHash % NUMBERS}`;
}
