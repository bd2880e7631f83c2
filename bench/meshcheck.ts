import { checkMesh } from '../test/support/meshproperty.js';
import { meshMutations } from '../test/support/meshmutations.js';

const DEFAULT_RUNS = 1000;
const SEED = 1;

/** A long run of the check of interleavings, and how soon it tells each guard that is turned off. */
export function meshCheck(args: readonly string[]): Promise<object> {
  const runs = Number(args[0] ?? DEFAULT_RUNS);
  const seed = Number(args[1] ?? SEED);
  const whole = checkMesh(seed, runs);
  const mutants = Object.entries(meshMutations).map(([guard, step]) => {
    const details = checkMesh(seed, runs, step);
    const [worldSeed, story] = details.counterexample ?? [];
    return { guard, found: details.failed, storiesTried: details.numRuns, worldSeed, story };
  });
  return Promise.resolve({
    seed,
    runs,
    failed: whole.failed,
    found: whole.counterexample,
    mutants,
  });
}
