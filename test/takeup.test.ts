import test from 'ava';
import type { UpstreamId } from '../src/base/index.js';
import { TakeUpRig } from './support/takeuprig.js';

/** Far below the deadline of a request. */
const AT_ONCE_MS = 200;
/** A fifth of the 19 s that are left; callers accept up to a third of them. */
const MIN_SPREAD_MS = 3700;
const MAX_ACCEPTED_MS = 6300;
const READY = { type: 'ready', upstream: 'u1' as UpstreamId } as const;

/** One upstream of v1 with the model, and one of another version. */
function rigOf(...args: ConstructorParameters<typeof TakeUpRig>): TakeUpRig {
  const rig = new TakeUpRig(...args);
  rig.list('u1', 'v1', [TakeUpRig.model]);
  rig.list('u2', 'v1.1', [TakeUpRig.model]);
  return rig;
}

/** The holder's answer while a model is loading that is ready at `atMs`. */
const loadingUntil = (rig: TakeUpRig, atMs: number) => () =>
  ({ type: 'later', inMs: Math.max(25, atMs - rig.clock.nowMs()), isUnderWay: true }) as const;

// Guards against a refusal after two tries 50 ms apart, with most of the deadline left.
test('a stream that is taken up while the only upstream of its version is unreachable goes on once it is back', async (t) => {
  const rig = rigOf();
  rig.answer = () => READY;
  rig.setCondition('u1', 'down');
  rig.takeUp();
  await rig.pass(1000);
  rig.setCondition('u1', 'serving');
  await rig.pass(4000);
  t.deepEqual(
    rig.ended.map(({ status }) => status),
    [200],
  );
  t.false(rig.sends.includes('u2'));
});

// Guards against a refusal where an upstream has lost its model in a crash and another one of the version can load it.
test('a stream goes on at another upstream of its version if its own one comes back empty', async (t) => {
  const rig = rigOf();
  rig.list('u3', 'v1');
  rig.answer = () => READY;
  rig.setCondition('u1', 'down');
  rig.takeUp();
  await rig.pass(500);
  rig.setCondition('u1', 'empty');
  await rig.pass(1500);
  rig.answer = loadingUntil(rig, 5000);
  await rig.pass(3000);
  rig.list('u3', 'v1', [TakeUpRig.model]);
  await rig.pass(1000);
  t.deepEqual(
    rig.ended.map(({ status }) => status),
    [200],
  );
  t.is(rig.sends.at(-1), 'u3');
});

// Guards against the same at an entry that has not seen the crash, as it was frozen or sent nothing there meanwhile.
test('a stream waits until the list shows that its upstream has restarted empty', async (t) => {
  const rig = rigOf({ weightsVersion: '1' });
  rig.list('u3', 'v1');
  rig.setCondition('u1', 'empty');
  rig.answer = loadingUntil(rig, 2500);
  rig.takeUp();
  await rig.pass(400);
  rig.list('u1', 'v1');
  await rig.pass(2100);
  rig.list('u3', 'v1', [TakeUpRig.model]);
  await rig.pass(1000);
  t.deepEqual(
    rig.ended.map(({ status }) => status),
    [200],
  );
  t.is(rig.sends.at(-1), 'u3');
});

// Guards against a refusal after 3 ms although the model is being loaded at the version, with 20 s left.
test('a stream waits for a load at its version that takes seconds', async (t) => {
  const rig = rigOf();
  rig.list('u1', 'v1');
  rig.answer = loadingUntil(rig, 4200);
  rig.takeUp();
  await rig.pass(4200);
  rig.list('u1', 'v1', [TakeUpRig.model]);
  await rig.pass(1000);
  t.deepEqual(
    rig.ended.map(({ status }) => status),
    [200],
  );
});

// Guards against callers that are held although nothing can serve them any more.
test('a stream is refused at once when no upstream of its version is left, also while it waits', async (t) => {
  const rig = rigOf();
  rig.list('u1', 'v1');
  rig.answer = loadingUntil(rig, 6000);
  rig.takeUp();
  await rig.pass(1000);
  rig.unlist('u1');
  rig.takeUp();
  await rig.pass(AT_ONCE_MS);
  t.deepEqual(
    rig.ended.map(({ type }) => type),
    ['stream-version-gone', 'stream-version-gone'],
  );
});

// Guards against demand of callers that have left, for which the plan would keep or load replicas.
test('a caller that leaves ends its wait and no longer counts as waiting', async (t) => {
  const rig = rigOf();
  rig.list('u1', 'v1');
  rig.answer = loadingUntil(rig, 1000);
  const leave = rig.takeUp();
  await rig.pass(200);
  t.is(rig.waiting, 1);
  leave();
  await rig.pass(100);
  t.is(rig.waiting, 0);
});

// Guards against an entry that alone cannot reach an upstream and holds streams that other entries could serve.
test('a stream is refused within seconds where the holder reports as ready what the entry cannot reach', async (t) => {
  const rig = rigOf();
  rig.answer = () => READY;
  rig.setCondition('u1', 'down');
  rig.takeUp();
  await rig.pass(6000);
  t.deepEqual(
    rig.ended.map(({ type }) => type),
    ['not-resident'],
  );
  t.true(rig.sends.length <= 4);
});

// Guards against a request that is sent again and again, without time passing, where no wait follows its failure.
for (const condition of ['unsendable', 'empty', 'full'] as const) {
  test(`a stream is sent a bounded number of times to an upstream that never takes it: ${condition}`, async (t) => {
    const rig = rigOf({ weightsVersion: '1' });
    rig.answer = () => READY;
    rig.setCondition('u1', condition);
    rig.takeUp();
    await rig.pass(8000);
    t.is(rig.ended.length, 1);
    t.is(rig.ended[0]!.status, 503);
    t.true(rig.sends.length <= 4);
  });
}

// Guards against the same where nothing tells that the upstream has restarted, and the holder does not know it either.
test('a stream is sent a bounded number of times where a model is reported as ready and is not there', async (t) => {
  const rig = rigOf();
  rig.answer = () => READY;
  rig.setCondition('u1', 'empty');
  rig.takeUp();
  await rig.pass(8000);
  t.is(rig.ended.length, 1);
  t.true(rig.sends.length <= 4);
  // In time for the list to show what the holder does not know.
  t.true(rig.ended[0]!.atMs > 1500);
});

// Guards against requests that are held to their deadline, with no time left for another try or for the stream.
test('a stream is refused before its deadline if the load that it waits for does not come', async (t) => {
  const rig = rigOf();
  rig.list('u1', 'v1');
  rig.answer = () => ({ type: 'later', inMs: 1000, isUnderWay: true });
  rig.takeUp();
  await rig.pass(19_000);
  t.deepEqual(
    rig.ended.map(({ type }) => type),
    ['not-resident'],
  );
  t.true(rig.ended[0]!.atMs > 14_000 && rig.ended[0]!.atMs <= 16_000);
});

// Guards against streams that are refused for an outage of the lease holder after a long wait for a load.
test('a stream that waits for a load goes on waiting while the lease passes to another entry', async (t) => {
  const rig = rigOf();
  rig.list('u1', 'v1');
  rig.answer = () => ({ type: 'later', inMs: 500, isUnderWay: true });
  rig.takeUp();
  await rig.pass(6000);
  rig.answer = () => undefined;
  await rig.pass(2000);
  rig.list('u1', 'v1', [TakeUpRig.model]);
  await rig.pass(1000);
  t.deepEqual(
    rig.ended.map(({ status }) => status),
    [200],
  );
});

// Guards against refusals whose cause no log and no metric tells.
test('the log line of a stream that is taken up says how long it waited, and its end is counted', async (t) => {
  const rig = rigOf();
  rig.list('u1', 'v1');
  rig.answer = loadingUntil(rig, 3000);
  rig.takeUp();
  await rig.pass(1000);
  rig.unlist('u1');
  await rig.pass(AT_ONCE_MS);
  const [line] = rig.lines;
  t.is(line!.end, 'stream-version-gone');
  t.true(Math.abs((line!.targetWaitMs as number) - 1000) <= AT_ONCE_MS);
  t.deepEqual(rig.counted, ['stream-version-gone']);
});

// Guards against an event loop that stands still: each wait for an upstream ended at once for one that may not be used.
test('a stream waits for an upstream that has asked for a pause, beside one that is unreachable', async (t) => {
  const rig = rigOf();
  rig.list('u3', 'v1', [TakeUpRig.model]);
  rig.answer = () => ({ type: 'ready', upstream: 'u3' as UpstreamId });
  rig.setCondition('u1', 'down');
  rig.block('u3', 3000);
  rig.takeUp();
  await rig.pass(4000);
  t.deepEqual(
    rig.ended.map(({ status }) => status),
    [200],
  );
  t.true(rig.askCount < 100, `${rig.askCount}`);
});

// Guards against a refusal after some milliseconds where the request was already at the upstream as it crashed.
test('a stream whose only upstream crashes before the first event goes on once it is back', async (t) => {
  const rig = rigOf();
  rig.answer = () => READY;
  rig.setCondition('u1', 'crashing');
  rig.takeUp();
  await rig.pass(10);
  rig.setCondition('u1', 'down');
  await rig.pass(1000);
  rig.setCondition('u1', 'serving');
  await rig.pass(4000);
  t.deepEqual(
    rig.ended.map(({ status }) => status),
    [200],
  );
});

// Guards against tries every 50 ms at an upstream that serves kept connections and accepts no new ones.
test('a stream tries ever less often at an upstream that opens no connection but answers others', async (t) => {
  const rig = rigOf();
  rig.answer = () => READY;
  rig.setCondition('u1', 'down');
  rig.takeUp();
  for (let round = 0; round < 400; round += 1) {
    rig.answerAnother('u1');
    await rig.pass(20);
  }
  t.true(rig.sends.length <= 12, `${rig.sends.length}`);
});

// Guards against a long wait for a load that counts as one without word from the holder.
test('a stream that has waited for a load survives one connection that is refused', async (t) => {
  const rig = rigOf();
  rig.list('u1', 'v1');
  rig.answer = loadingUntil(rig, 5000);
  rig.takeUp();
  await rig.pass(5000);
  rig.list('u1', 'v1', [TakeUpRig.model]);
  rig.setCondition('u1', 'down');
  await rig.pass(60);
  rig.answer = () => READY;
  rig.setCondition('u1', 'serving');
  await rig.pass(4000);
  t.deepEqual(
    rig.ended.map(({ status }) => status),
    [200],
  );
});

// Guards against callers that use up their tries within a second, while a version that returns takes several.
test('a stream whose version has gone is refused with a time for another try that grows with the time left', async (t) => {
  const rig = rigOf();
  rig.list('u1', 'v1');
  rig.answer = loadingUntil(rig, 6000);
  rig.takeUp();
  await rig.pass(1000);
  rig.unlist('u1');
  rig.takeUp();
  await rig.pass(AT_ONCE_MS);
  t.deepEqual(
    rig.ended.map(({ type }) => type),
    ['stream-version-gone', 'stream-version-gone'],
  );
  for (const { retryAfterMs = 0 } of rig.ended) {
    t.true(retryAfterMs >= MIN_SPREAD_MS, `${retryAfterMs}`);
    t.true(retryAfterMs <= MAX_ACCEPTED_MS, `${retryAfterMs}`);
  }
});
