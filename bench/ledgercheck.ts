import { check } from './ledgercheck/check.js';
import { mutations } from './ledgercheck/mutations.js';

const RUNS = 100_000;
const MUTATION_RUNS = 200_000;
const SEED = 20_261_202;
const LENGTH = 120;

const kindOf = (checksFencing: boolean) =>
  checksFencing ? 'checks fencing tokens' : 'ignores fencing tokens';

/** Each guard off once: the check has to fail. */
function tryMutations(runs: number): object[] {
  return mutations.flatMap(({ name, wrong, checksFencing, fence, residency }) =>
    checksFencing.map((checks) => {
      const options = { checksFencing: checks, runs, seed: SEED, length: LENGTH };
      const { counterexample, runs: tried } = check({ ...options, fence, residency });
      return {
        guard: name,
        wrong,
        upstream: kindOf(checks),
        found: counterexample !== undefined,
        tried,
        violation: counterexample?.violation,
        actions: counterexample?.actions.join(', '),
      };
    }),
  );
}

/** `npm run bench -- ledger-check [runs] [mutation runs]`: model checking of orders and ledger. */
export async function ledgerCheck(args: readonly string[]): Promise<object> {
  const runs = Number(args[0] ?? RUNS);
  const kinds = [true, false].map((checksFencing) => {
    const startedMs = performance.now();
    const found = check({ checksFencing, runs, seed: SEED, length: LENGTH });
    const seconds = Math.round((performance.now() - startedMs) / 100) / 10;
    return { upstream: kindOf(checksFencing), ...found, seconds };
  });
  return {
    seed: SEED,
    length: LENGTH,
    kinds,
    mutations: tryMutations(Number(args[1] ?? MUTATION_RUNS)),
  };
}
