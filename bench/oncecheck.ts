import { check } from './once/check.js';

const INTERLEAVINGS = 100_000;
const SEED = 20_261_202;

/**
 * Checks the real run-once cores under random interleavings of sends, retries, process deaths, pauses, hand-overs and
 * store outages. Arguments: the number of interleavings (100,000 by default) and the seed.
 */
export async function onceCheck(args: readonly string[]): Promise<object> {
  const [interleavings = INTERLEAVINGS, seed = SEED] = args.map(Number);
  const startedMs = performance.now();
  const result = check(interleavings, seed);
  return { ...result, seed, tookMs: Math.round(performance.now() - startedMs) };
}
