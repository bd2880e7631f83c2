import { check } from './once/check.js';

const INTERLEAVINGS = 100_000;
const SEED = 20_261_202;

/**
 * Plays random interleavings of tickets, retries, entries, deaths, pauses, hand-overs and store faults
 * against the real run-once cores. Arguments: how many (100,000 by default) and the seed.
 */
export async function onceCheck(args: readonly string[]): Promise<object> {
  const [interleavings = INTERLEAVINGS, seed = SEED] = args.map(Number);
  const startedMs = performance.now();
  const found = check(interleavings, seed);
  return { ...found, seed, tookMs: Math.round(performance.now() - startedMs) };
}
