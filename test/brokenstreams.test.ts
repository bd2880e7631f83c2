import test from 'ava';
import type { ModelId } from '../src/base/index.js';
import { TakeUpRig } from './support/takeuprig.js';

/** Far below the time for which a request that takes a stream up may be held. */
const AT_ONCE_MS = 500;
const OTHER_MODEL = 'm2' as ModelId;

/** An entry that has just found an upstream unreachable when a stream breaks there; another one could load the model. */
async function broken(): Promise<TakeUpRig> {
  const rig = new TakeUpRig();
  rig.list('u1', 'v1', [TakeUpRig.model]);
  rig.list('u2', 'v1');
  rig.setCondition('u1', 'breaking');
  rig.begin();
  await rig.pass(50);
  rig.setCondition('u1', 'down');
  rig.begin();
  return rig;
}

// Guards against a caller that is kept from taking its stream up at another entry, and times out instead.
test('a stream that breaks within its answer is cut at once where its upstream is unreachable', async (t) => {
  const rig = await broken();
  await rig.pass(19_000);
  t.is(rig.cutAtMs.length, 1);
  t.true(rig.cutAtMs[0]! < AT_ONCE_MS, `${rig.cutAtMs[0]}`);
});

// Guards against the same beside a load that takes longer than callers of streams wait for an event.
test('a stream that breaks within its answer is cut at once where its model is ready in 10 s', async (t) => {
  const rig = await broken();
  rig.answer = () => ({ type: 'later', inMs: 10_000, isUnderWay: false });
  await rig.pass(19_000);
  t.is(rig.cutAtMs.length, 1);
  t.true(rig.cutAtMs[0]! < AT_ONCE_MS, `${rig.cutAtMs[0]}`);
});

// Guards against retries of other requests that find the budget spent by streams that wait and send nothing.
test('a stream that waits for a load does not use up the retry budget of other requests', async (t) => {
  const rig = new TakeUpRig({}, { ratio: 0, slack: 1 });
  rig.list('u1', 'v1', [TakeUpRig.model]);
  rig.setCondition('u1', 'empty');
  rig.answer = () => ({ type: 'later', inMs: 4000, isUnderWay: true });
  rig.takeUp();
  await rig.pass(1500);
  rig.list('u5', 'v1', [OTHER_MODEL]);
  rig.list('u6', 'v1', [OTHER_MODEL]);
  for (const id of ['u5', 'u6']) rig.setCondition(id, 'full');
  rig.begin(OTHER_MODEL);
  for (const id of ['u5', 'u6']) rig.setCondition(id, 'serving');
  await rig.pass(1000);
  t.is(rig.ended.at(-1)!.status, 200, JSON.stringify(rig.lines.at(-1)));
});

// Guards against prompts and callers that count as crashing upstreams which have answered and serve on.
test('an answer of length 0 to a stream that is taken up is not recorded as a crash of its upstream', async (t) => {
  const rig = new TakeUpRig();
  rig.list('u1', 'v1', [TakeUpRig.model]);
  rig.list('u2', 'v1', [TakeUpRig.model]);
  for (const id of ['u1', 'u2']) rig.setCondition(id, 'eventless');
  rig.takeUp();
  await rig.pass(5000);
  t.is(rig.ended.length, 1);
  t.is(rig.crashCount, 0);
});
