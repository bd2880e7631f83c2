import test from 'ava';
import { LoadBudget } from '../src/direct/orders/loadbudget.js';

const WINDOW_MS = 5000;
const PER_SECOND = 3;

test('a reserved load counts until it starts, and for a window from then on', (t) => {
  const budget = new LoadBudget(WINDOW_MS, 1);
  const whole = budget.left(PER_SECOND, 0);
  const startLoad = budget.reserve();
  t.is(budget.left(PER_SECOND, 0), whole - 1);
  t.is(budget.left(PER_SECOND, WINDOW_MS + 1000), whole - 1);
  startLoad(WINDOW_MS + 1000);
  t.is(budget.left(PER_SECOND, 2 * WINDOW_MS), whole - 1);
  t.is(budget.left(PER_SECOND, 2 * WINDOW_MS + 1001), whole);
});
