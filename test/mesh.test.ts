import test from 'ava';
import type { HostId } from '../src/base/index.js';
import {
  createMesh,
  stepMesh,
  type MeshBatch,
  type MeshEvent,
  type MeshRecord,
  type MeshState,
} from '../src/core/mesh/index.js';
import { session, type TimedEvent } from './support/session.js';

const IDS = ['a', 'b', 'c', 'd', 'e', 'f'];

function document(sequence: number, service = 'redactor'): MeshRecord {
  const value = Uint8Array.of(sequence);
  return { key: `document/${service}`, epoch: 0, sequence, value, origin: '' };
}

function start(id: string): MeshState {
  const self = { id: id as HostId, address: id, role: 'entry' as const, interests: [] };
  const all = { ...self, hasHostList: true, hasStore: true };
  return createMesh(all, 1, 0, { degree: 2, fullPullIntervalMs: 1e9, resyncMs: 1e9 });
}

const hosts = (ids = IDS): MeshEvent => ({
  type: 'hostList',
  entries: ids.map((id) => ({ id: id as HostId, address: id, state: 'live' })),
  listedIds: ids,
});

function batch(host: string, records: readonly MeshRecord[], caughtUp = true): MeshBatch {
  const revision = Math.max(0, ...records.map(({ sequence }) => sequence));
  return { host, revision, hash: 1, records, caughtUp, truncated: false };
}

const tick: MeshEvent = { type: 'tick' };
const at = (atMs: number, event: MeshEvent): TimedEvent<MeshEvent> => ({ atMs, event });
const push = (host: string, ...records: MeshRecord[]): MeshEvent => ({
  type: 'pushArrived',
  callId: 1,
  batch: batch(host, records),
});
const answer = (from: string, records: readonly MeshRecord[], caughtUp = true): MeshEvent => ({
  type: 'pullAnswered',
  from,
  batch: batch(from, records, caughtUp),
});
const listed = (revision: number, ...records: MeshRecord[]): MeshEvent => ({
  type: 'storeListed',
  records,
  revision,
});

/** Relay order of the six entries; the first two watch the store. */
const [FIRST = '', SECOND = '', THIRD = ''] = stepMesh(start('a'), hosts(), 0).state.entries.map(
  ({ id }) => id as string,
);

/** The events after which a relay watches the store. */
const watching = [at(0, hosts()), at(0, tick), at(10, listed(5, document(5)))];

test('golden: when a relay dies, the second one takes over its part of the tree and the third its watch', (t) => {
  const update: MeshEvent = { type: 'watchTold', record: document(6) };
  const second = session(t, 'mesh-relay-dies-second', stepMesh, start(SECOND), [
    ...watching,
    at(100, update),
    at(101, { type: 'pushFailed', to: FIRST, keys: ['document/redactor'] }),
  ]);
  t.true(second.suspects.has(FIRST));
  const third = session(t, 'mesh-relay-dies-third', stepMesh, start(THIRD), [
    at(0, hosts()),
    at(5, answer(SECOND, [])),
    at(10, push(FIRST, document(5))),
    at(20, { type: 'pullFailed', from: FIRST }),
    at(50, tick),
    at(60, listed(7, document(7))),
  ]);
  t.is(third.store.phase, 'watching');
});

test('golden: after a partition, a higher revision seen on a call triggers a pull of missed records', (t) => {
  const state = session(t, 'mesh-heal', stepMesh, start(THIRD), [
    at(0, hosts()),
    at(5, answer(SECOND, [])),
    at(10, push(FIRST, document(5))),
    at(9000, { type: 'revisionSeen', revision: 8, from: 'a-sidecar' }),
    at(9010, answer('a-sidecar', [document(8)])),
    at(9015, answer('a-sidecar', [])),
    at(9020, { type: 'revisionSeen', revision: 8, from: 'a-sidecar' }),
  ]);
  t.is(state.revision, 8);
});

test('golden: answers of peers that have not caught up do not complete the catch-up of a restarted process', (t) => {
  const state = session(t, 'mesh-stale-peer', stepMesh, start('a'), [
    at(0, hosts()),
    at(10, answer('d', [document(3)], false)),
    at(100, tick),
    at(110, answer('e', [document(6)])),
    at(120, push('d', document(4))),
    at(200, tick),
    at(210, { type: 'pullFailed', from: 'c' }),
    at(10_050, tick),
  ]);
  t.is(state.catchUp.phase, 'uncertain');
  t.is(state.revision, 6);
});

test('golden: in a store outage a relay propagates the last change it received and then lists the store again', (t) => {
  const state = session(t, 'mesh-outage', stepMesh, start(FIRST), [
    ...watching,
    at(100, { type: 'watchTold', record: document(6) }),
    at(101, { type: 'watchEnded', compacted: false }),
    at(400, tick),
    at(450, { type: 'storeFailed' }),
    at(2000, tick),
    at(2010, listed(6, document(6))),
  ]);
  t.is(state.store.phase, 'watching');
});

test('golden: after a compaction ended the watch, the new listing also reveals deletions', (t) => {
  const state = session(t, 'mesh-compacted', stepMesh, start(FIRST), [
    ...watching,
    at(100, push('c', document(6, 'padron'))),
    at(200, { type: 'watchEnded', compacted: true }),
    at(210, listed(9, document(8))),
    at(300, push('c', document(6, 'padron'))),
  ]);
  t.is(state.records.get('document/padron')?.value.length, 0);
});

test('golden: in a replaced fleet the new relays catch up from the store alone', (t) => {
  const state = session(t, 'mesh-replaced', stepMesh, start(FIRST), [
    at(0, hosts()),
    at(0, tick),
    at(10, listed(5, document(5))),
    at(20, answer('d', [], false)),
    at(30, push('c', document(4, 'padron'))),
  ]);
  t.is(state.catchUp.phase, 'current');
  t.is(state.records.get('document/padron')?.value.length, 0);
});

test('golden: a process never adopts an older version, from any source', (t) => {
  const state = session(t, 'mesh-never-lower', stepMesh, start(FIRST), [
    ...watching,
    at(20, push('c', document(9))),
    at(30, push('d', document(7))),
    at(40, answer('e', [document(6)])),
    at(50, { type: 'watchTold', record: document(8) }),
    at(60, { type: 'watchEnded', compacted: true }),
    at(70, listed(8, document(8))),
    at(80, { type: 'published', record: document(1) }),
  ]);
  t.is(state.records.get('document/redactor')?.sequence, 9);
});

test('a process behind a slow link gets documents that take longer together than a call may', (t) => {
  // What a link of 10 Mbit/s carries in the 300 ms of a call.
  const limitBytes = 375_000;
  const documents = Array.from({ length: 40 }, (_, index) => ({
    ...document(index + 1, `service-${index}`),
    value: new Uint8Array(50_000),
  }));
  let holder = stepMesh(start('a'), hosts(), 0).state;
  holder = stepMesh(holder, push('c', ...documents), 0).state;
  let asker = stepMesh(start('b'), hosts(['a', 'b']), 0).state;
  const play = (event: MeshEvent, nowMs: number): void => {
    const { state, effects } = stepMesh(asker, event, nowMs);
    asker = state;
    for (const effect of effects) {
      if (effect.type !== 'pull') continue;
      const asked = { type: 'pullArrived' as const, callId: 0, digest: effect.digest };
      const answered = stepMesh(holder, asked, nowMs);
      holder = answered.state;
      const reply = answered.effects.find(({ type }) => type === 'answerPull');
      const got = reply?.type === 'answerPull' ? reply.batch : batch('a', []);
      const bytes = got.records.reduce((sum, { value }) => sum + value.length, 0);
      if (bytes > limitBytes) play({ type: 'pullFailed', from: effect.to }, nowMs);
      else play({ type: 'pullAnswered', from: effect.to, batch: got }, nowMs);
    }
  };
  for (let nowMs = 0; nowMs < 20_000; nowMs += 50) play(tick, nowMs);
  t.is(asker.records.size, documents.length);
});
