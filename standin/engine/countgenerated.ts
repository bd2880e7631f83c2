import { VOCABULARY } from './vocabulary.js';

const GENERATED = new RegExp(`(?: (?:${VOCABULARY.join('|')})\\d+)+$`);

/** Counts the generated tokens at the end of a text, which a continued answer starts from. */
export function countGenerated(text: string): number {
  const tail = GENERATED.exec(text)?.[0];
  return tail ? tail.split(' ').length - 1 : 0;
}
