import test from 'ava';
import { checkLedger } from '../bench/ledgercheck/checkledger.js';
import { mutations } from '../bench/ledgercheck/mutations.js';

const SEED = 7;
const ACTION_COUNT = 120;

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks' : 'ignores';

  test(`3,000 interleavings never overcommit the memory of an engine that ${kind} fencing tokens`, (t) => {
    const found = checkLedger({ checksFencing, runs: 3000, seed: SEED, length: ACTION_COUNT });
    t.is(found.counterexample, undefined);
    t.true(found.loads > 3000, 'the runs load models');
  });

  for (const { name, wrong, isRare, ...mutation } of mutations) {
    if (isRare || !mutation.checksFencing.includes(checksFencing)) continue;
    const { fence, residency } = mutation;
    test(`with an engine that ${kind} fencing tokens, the check finds a violation when ${wrong} (${name})`, (t) => {
      const options = { checksFencing, runs: 10_000, seed: SEED, length: ACTION_COUNT };
      t.truthy(checkLedger({ ...options, fence, residency }).counterexample);
    });
  }
}
