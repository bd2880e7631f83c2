import type { Quota } from '../access/index.js';

/** Returns what one run of a request takes from its customer's quota. */
export function costOf({ unit, plainTokens }: Quota, tokens: number | undefined): number {
  return unit === 'tokens' ? (tokens ?? plainTokens) : 1;
}
