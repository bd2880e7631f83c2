import { VOCABULARY } from './vocabulary.js';

const NUMBER_COUNT = 97;

/**
 * Returns the token that follows a text with this hash. It depends on the entire preceding text, as with greedy
 * decoding, so an answer that is continued on another engine has the same bytes.
 */
export function nextToken(textHash: number): string {
  return ` ${VOCABULARY[textHash % VOCABULARY.length]}${textHash % NUMBER_COUNT}`;
}
