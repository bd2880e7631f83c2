import test from 'ava';
import { checkMesh } from './support/meshproperty.js';
import { meshMutations } from './support/meshmutations.js';

const SEED = 5;
const RUNS = 40;
const MUTANT_RUNS = 400;

test('property: no process returns to an older version or serves too early, and all converge', (t) => {
  const details = checkMesh(SEED, RUNS);
  t.false(details.failed, JSON.stringify(details.counterexample));
});

for (const [guard, step] of Object.entries(meshMutations)) {
  test(`the property fails without the guard: ${guard}`, (t) => {
    t.true(checkMesh(SEED, MUTANT_RUNS, step).failed);
  });
}
