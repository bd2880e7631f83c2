import { checkMesh } from '../test/support/meshproperty.js';
import { meshMutations } from '../test/support/meshmutations.js';

const DEFAULT_RUNS = 1000;
const SEED = 1;

/** Runs the mesh interleaving check, then repeats it with each guard disabled to see how soon it finds a violation. */
export function meshCheck(args: readonly string[]): Promise<object> {
  const runs = Number(args[0] ?? DEFAULT_RUNS);
  const seed = Number(args[1] ?? SEED);
  const result = checkMesh(seed, runs);
  const mutants = Object.entries(meshMutations).map(([guard, step]) => {
    const details = checkMesh(seed, runs, step);
    const [worldSeed, actions] = details.counterexample ?? [];
    return {
      guard,
      found: details.failed,
      storiesTried: details.numRuns,
      worldSeed,
      story: actions,
    };
  });
  return Promise.resolve({
    seed,
    runs,
    failed: result.failed,
    found: result.counterexample,
    mutants,
  });
}
