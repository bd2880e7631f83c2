import { VOCABULARY } from './vocabulary.js';

const GENERATED = new RegExp(`(?: (?:${VOCABULARY.join('|')})\\d+)+$`);

/** How many tokens at the end of a text look generated: where a continued answer goes on from. */
export function countGenerated(text: string): number {
  const tail = GENERATED.exec(text)?.[0];
  return tail ? tail.split(' ').length - 1 : 0;
}
