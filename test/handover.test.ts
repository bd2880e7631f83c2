import test from 'ava';
import type { AdapterId, ModelId, RequestId, UpstreamId } from '../src/base/index.js';
import {
  idleHandOver,
  stepHandOver,
  type HandOverEvent,
  type Holder,
  type Session,
} from '../src/core/handover/index.js';
import { HandOverFleet } from './support/handoverfleet.js';
import { session } from './support/session.js';

const limits = { totalBytes: 100, messageBytes: 60, concurrentSessions: 2, timeoutMs: 2000 };
const id = (name: string) => name as RequestId;

const running = (name: string, tokenCount: number, model = 'm', adapter?: string): Session => ({
  requestId: id(name),
  model: model as ModelId,
  adapter: adapter as AdapterId | undefined,
  tokenCount,
});

const holder = (name: string, requestCount: number, adapters: readonly string[] = []): Holder => ({
  upstream: name as UpstreamId,
  models: [{ model: 'm' as ModelId, adapters: adapters as AdapterId[] }],
  requestCount,
  slots: 4,
});

test('caches go to the least loaded upstream, the longest first, within the limits', (t) => {
  const sessions = [
    running('short', 10),
    running('long', 500),
    running('adapted', 50, 'm', 'a'),
    running('elsewhere-absent', 90, 'other'),
    running('large', 40),
    running('beyond', 30),
    running('unsupported', 20),
    running('late', 5),
  ];
  const holders = [holder('busy', 3, ['a']), holder('free', 0)];
  const at = (atMs: number, event: HandOverEvent) => ({ atMs, event });
  const end = session(t, 'handover-stop', stepHandOver, idleHandOver(limits), [
    at(0, { type: 'begin', sessions }),
    at(10, { type: 'found', holders }),
    at(20, { type: 'exported', requestId: id('long'), sizeBytes: 55 }),
    at(25, { type: 'exported', requestId: id('adapted'), sizeBytes: 30 }),
    at(30, { type: 'imported', requestId: id('long') }),
    at(35, { type: 'failed', requestId: id('adapted') }),
    at(40, { type: 'exported', requestId: id('large'), sizeBytes: 61 }),
    at(45, { type: 'exported', requestId: id('beyond'), sizeBytes: 16 }),
    at(50, { type: 'failed', requestId: id('unsupported') }),
    at(55, { type: 'exported', requestId: id('short'), sizeBytes: 15 }),
    at(60, { type: 'tick' }),
    at(2000, { type: 'tick' }),
    at(2010, { type: 'imported', requestId: id('short') }),
    at(2020, { type: 'exported', requestId: id('late'), sizeBytes: 1 }),
  ]);
  t.true([...end.moving.values()].every(({ phase }) => phase === 'settled'));
  t.is(end.sentBytes, 100);
});

test('when the hand-over is aborted, all sessions are settled at once', (t) => {
  session(t, 'handover-given-up', stepHandOver, idleHandOver(limits), [
    { atMs: 0, event: { type: 'begin', sessions: [running('one', 1), running('two', 2)] } },
    { atMs: 5, event: { type: 'give-up' } },
    { atMs: 10, event: { type: 'found', holders: [holder('free', 0)] } },
  ]);
});

test('daemons: a stream that outlasts a planned stop continues from its KV cache, byte for byte', async (t) => {
  const fleet = new HandOverFleet({});
  t.teardown(() => fleet.stop());
  await fleet.start();
  const { broken, unbroken, prefilledAtPeer } = await fleet.breakStream();
  t.is(broken, unbroken);
  t.true(prefilledAtPeer < fleet.promptTokens / 2, `${prefilledAtPeer} tokens`);
});

test('daemons: without a KV cache the stream continues from its text, byte for byte', async (t) => {
  const fleet = new HandOverFleet({ cacheHandOverBytes: 100 });
  t.teardown(() => fleet.stop());
  await fleet.start();
  const { broken, unbroken, prefilledAtPeer } = await fleet.breakStream();
  t.is(broken, unbroken);
  t.true(prefilledAtPeer >= fleet.promptTokens, `${prefilledAtPeer} tokens`);
});
