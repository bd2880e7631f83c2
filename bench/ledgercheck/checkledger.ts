import fc from 'fast-check';
import { defaultFenceRules, type FenceRules } from '../../src/core/fence/index.js';
import { defaultResidencyRules, type ResidencyRules } from '../../src/core/residency/index.js';
import { World } from './world.js';

const MAX_CHOICE = 2 ** 16;

interface CheckOptions {
  readonly checksFencing: boolean;
  /** Number of interleavings to try. */
  readonly runs: number;
  readonly seed: number;
  /** Maximum number of actions in an interleaving; the minimum is half of it. */
  readonly length: number;
  /** Safety guards. The default is the guards used in production; mutations replace one of them. */
  readonly fence?: FenceRules;
  readonly residency?: ResidencyRules;
}

interface CheckResult {
  readonly runs: number;
  /** Copies of load orders that the engine received, over all runs. */
  readonly loads: number;
  /** A minimal interleaving that violates an invariant: each of its actions is needed. Undefined if there is none. */
  readonly counterexample:
    { readonly violation: string; readonly actions: readonly string[] } | undefined;
}

type Setup = ConstructorParameters<typeof World>[0];

function replay(setup: Setup, choices: readonly number[]): World {
  const world = new World(setup);
  for (const choice of choices) {
    world.act(choice);
    if (world.violation) break;
  }
  return world;
}

/** Removes actions one at a time as long as the remaining ones still violate an invariant. */
function shrink(setup: Setup, choices: readonly number[]): readonly number[] {
  for (let index = choices.length - 1; index >= 0; index -= 1) {
    const shorter = choices.filter((_, at) => at !== index);
    if (replay(setup, shorter).violation) return shrink(setup, shorter);
  }
  return choices;
}

/** Runs random interleavings until one violates an invariant, and shrinks that one. */
export function checkLedger(options: CheckOptions): CheckResult {
  const { checksFencing, runs, seed, length } = options;
  const { fence = defaultFenceRules, residency = defaultResidencyRules } = options;
  const setup = { checksFencing, fence, residency };
  const choice = fc.nat(MAX_CHOICE);
  const lengths = { minLength: length / 2, maxLength: length, size: 'max' as const };
  let loads = 0;
  const property = fc.property(fc.array(choice, lengths), (choices) => {
    const world = replay(setup, choices);
    loads += world.loads;
    return world.violation === undefined;
  });
  const found = fc.check(property, { numRuns: runs, seed, endOnFailure: true });
  if (!found.counterexample) return { runs: found.numRuns, loads, counterexample: undefined };
  const shrunk = shrink(setup, found.counterexample[0]);
  const world = replay(setup, shrunk);
  const actions = shrunk.map((selected) => world.nameOf(selected));
  return {
    runs: found.numRuns,
    loads,
    counterexample: { violation: world.violation ?? '', actions },
  };
}
