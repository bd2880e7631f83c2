import test from 'ava';
import { check } from '../bench/ledgercheck/check.js';
import { mutations } from '../bench/ledgercheck/mutations.js';

const SEED = 7;
const LENGTH = 120;

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks' : 'ignores';

  test(`3,000 interleavings overcommit no engine that ${kind} fencing tokens`, (t) => {
    const found = check({ checksFencing, runs: 3000, seed: SEED, length: LENGTH });
    t.is(found.counterexample, undefined);
    t.true(found.loads > 3000, 'the runs do load models');
  });

  for (const { name, wrong, isRare, ...mutation } of mutations) {
    if (isRare || !mutation.checksFencing.includes(checksFencing)) continue;
    const { fence, residency } = mutation;
    test(`the check fails at an engine that ${kind} when ${wrong} (${name})`, (t) => {
      const options = { checksFencing, runs: 10_000, seed: SEED, length: LENGTH };
      t.truthy(check({ ...options, fence, residency }).counterexample);
    });
  }
}
