import { checkLedger } from './ledgercheck/checkledger.js';
import { mutations } from './ledgercheck/mutations.js';

const RUNS = 100_000;
const MUTATION_RUNS = 200_000;
const SEED = 20_261_202;
const ACTION_COUNT = 120;

const fencingLabel = (checksFencing: boolean) =>
  checksFencing ? 'checks fencing tokens' : 'ignores fencing tokens';

/** Runs the check with each guard disabled in turn. Each run should find a violation. */
function checkMutations(runs: number): object[] {
  return mutations.flatMap(({ name, wrong, checksFencing, fence, residency }) =>
    checksFencing.map((checks) => {
      const options = { checksFencing: checks, runs, seed: SEED, length: ACTION_COUNT };
      const { counterexample, runs: tried } = checkLedger({ ...options, fence, residency });
      return {
        guard: name,
        wrong,
        upstream: fencingLabel(checks),
        found: counterexample !== undefined,
        tried,
        violation: counterexample?.violation,
        actions: counterexample?.actions.join(', '),
      };
    }),
  );
}

/**
 * `npm run bench -- ledger-check [runs] [mutation runs]`: checks orders and memory ledger under random
 * interleavings, first as in production, then with each guard disabled.
 */
export async function ledgerCheck(args: readonly string[]): Promise<object> {
  const runs = Number(args[0] ?? RUNS);
  const kinds = [true, false].map((checksFencing) => {
    const startedMs = performance.now();
    const found = checkLedger({ checksFencing, runs, seed: SEED, length: ACTION_COUNT });
    const seconds = Math.round((performance.now() - startedMs) / 100) / 10;
    return { upstream: fencingLabel(checksFencing), ...found, seconds };
  });
  return {
    seed: SEED,
    length: ACTION_COUNT,
    kinds,
    mutations: checkMutations(Number(args[1] ?? MUTATION_RUNS)),
  };
}
