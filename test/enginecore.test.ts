import test from 'ava';
import { defaultCurve, stepMs } from '../standin/index.js';
import { emptyEngine } from '../standin/engine/emptyengine.js';
import { engineDefaults } from '../standin/engine/enginedefaults.js';
import { requestOf } from '../standin/engine/requestof.js';
import { stepEngine } from '../standin/engine/stepengine.js';
import { useCache } from '../standin/engine/usecache.js';
import { addLoad } from '../standin/weights/addload.js';
import { advance } from '../standin/weights/advance.js';

const options = { ...engineDefaults, maxRunning: 1 };

function ask(key: number, priority: number, prompt: string) {
  const identity = { key, requestId: `r${key}`, priority };
  return { type: 'ask' as const, request: requestOf({ model: 'm', prompt }, 2, identity) };
}

test('the duration of a step follows the curve and includes the prefill of uncached prompt tokens', (t) => {
  const prompt = 'x'.repeat(128);
  const cold = stepEngine(emptyEngine, ask(1, 0, prompt), 0, options);
  t.is(cold.state.stepEndsAtMs, stepMs(defaultCurve, 1) + 32 * defaultCurve.prefillTokenMs);
  const idle = stepEngine(cold.state, { type: 'tick' }, 1000, options);
  const warm = stepEngine(idle.state, ask(2, 0, prompt), 1000, options);
  t.is(warm.state.stepEndsAtMs, 1000 + stepMs(defaultCurve, 1));
});

test('the request with the highest priority enters the batch first', (t) => {
  let { state } = stepEngine(emptyEngine, ask(1, 0, 'a'), 0, options);
  state = stepEngine(state, ask(2, 0, 'b'), 1, options).state;
  state = stepEngine(state, ask(3, 9, 'c'), 2, options).state;
  const { effects } = stepEngine(state, { type: 'tick' }, 1000, options);
  const began = effects.flatMap((effect) => (effect.type === 'began' ? [effect.requestId] : []));
  t.deepEqual(began, ['r3', 'r2']);
});

test('the prefix cache evicts the least recently used block', (t) => {
  const empty = emptyEngine.cache;
  const filled = useCache(empty, [1, 2], 2);
  const { hits, cache } = useCache(useCache(filled.cache, [1], 2).cache, [3], 2);
  t.is(hits, 0);
  t.deepEqual([...cache.blocks], [1, 3]);
  t.deepEqual(
    cache.events.map(({ type }) => type),
    ['stored', 'stored', 'stored', 'evicted'],
  );
});

test('loads beyond the parallel limit share the total speed, and their starts respect the rate limit', (t) => {
  const limits = { loadsPerSecond: 1000, parallelLoads: 1, bytesPerMs: 10 };
  let state = { atMs: 0, nextId: 1, lastStartAtMs: -Infinity, loads: [] };
  state = addLoad(addLoad(state, 100, limits), 100, limits) as typeof state;
  t.is(advance(state, 0, limits).wakeAtMs, 1);
  t.deepEqual(advance(state, 18, limits).doneIds, []);
  t.deepEqual(advance(state, 20, limits).doneIds, [1, 2]);
});
