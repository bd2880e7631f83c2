import fc from 'fast-check';
import { defaultFenceRules, type FenceRules } from '../../src/core/fence/index.js';
import { residencyRulesInForce, type ResidencyRules } from '../../src/core/residency/index.js';
import { World } from './world.js';

const LARGEST_CHOICE = 2 ** 16;

/** What a check looks at. */
interface CheckOptions {
  readonly checksFencing: boolean;
  /** Interleavings to try. */
  readonly runs: number;
  readonly seed: number;
  /** Actions of one interleaving: from half of it to all. */
  readonly length: number;
  /** Guards; those in force unless a mutation is tried. */
  readonly fence?: FenceRules;
  readonly residency?: ResidencyRules;
}

/** What a check found. */
interface CheckResult {
  readonly runs: number;
  /** Copies of load orders that reached an engine, over all runs. */
  readonly loads: number;
  /** A broken interleaving from which no action can be left out; undefined when all held. */
  readonly counterexample:
    { readonly violation: string; readonly actions: readonly string[] } | undefined;
}

type Setup = ConstructorParameters<typeof World>[0];

function play(setup: Setup, choices: readonly number[]): World {
  const world = new World(setup);
  for (const choice of choices) {
    world.act(choice);
    if (world.violation) break;
  }
  return world;
}

/** Leaves out actions, one at a time, while the rest still breaks a promise. */
function shorten(setup: Setup, choices: readonly number[]): readonly number[] {
  for (let index = choices.length - 1; index >= 0; index -= 1) {
    const shorter = choices.filter((_, at) => at !== index);
    if (play(setup, shorter).violation) return shorten(setup, shorter);
  }
  return choices;
}

/** Runs interleavings until one breaks a promise, and shortens that one. */
export function check(options: CheckOptions): CheckResult {
  const { checksFencing, runs, seed, length } = options;
  const { fence = defaultFenceRules, residency = residencyRulesInForce } = options;
  const setup = { checksFencing, fence, residency };
  const choice = fc.nat(LARGEST_CHOICE);
  const lengths = { minLength: length / 2, maxLength: length, size: 'max' as const };
  let loads = 0;
  const property = fc.property(fc.array(choice, lengths), (choices) => {
    const world = play(setup, choices);
    loads += world.loads;
    return world.violation === undefined;
  });
  const found = fc.check(property, { numRuns: runs, seed, endOnFailure: true });
  if (!found.counterexample) return { runs: found.numRuns, loads, counterexample: undefined };
  const shortest = shorten(setup, found.counterexample[0]);
  const world = play(setup, shortest);
  const actions = shortest.map((each) => world.nameOf(each));
  return {
    runs: found.numRuns,
    loads,
    counterexample: { violation: world.violation ?? '', actions },
  };
}
