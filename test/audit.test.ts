import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import { VirtualClock, type ChangeId, type Revision, type ServiceId } from '../src/base/index.js';
import {
  createAcceptance,
  decodeStored,
  serviceKey,
  stepAcceptance,
  type AcceptanceEvent,
  type Change,
  type StoredService,
} from '../src/core/acceptance/index.js';
import { verifyChain } from '../src/core/audit/index.js';
import { diffLines, patchLines } from '../src/core/text/index.js';
import { acceptChange, sha256 } from '../src/shell/acceptance/index.js';
import { MemoryStore } from '../standin/index.js';
import { session } from './support/session.js';

const ROOT = join(import.meta.dirname, '..', '..');
const PADRON = readFileSync(join(ROOT, 'examples', 'reenvio-norte', 'padron.jsonc'), 'utf8');
const SERVICE = 'padron' as ServiceId;
const REGION = 'cantabrico';
const KEY = serviceKey.of({ region: REGION, service: SERVICE });

/** A document small enough to be readable in a golden file. */
const SMALL = JSON.stringify({
  schemaVersion: 1,
  service: 'padron',
  owner: 'reenvio-norte',
  region: 'cantabrico',
  customers: [],
  kinds: [{ name: 'lookup', priority: 'urgent', deadlineMs: 500, weight: 1, repeatable: true }],
  models: [],
  adapters: [],
  groups: [],
  weightStore: { loadsPerSecond: 3, parallelLoads: 4 },
  placement: { movePenalty: 0, spareUpstreams: 0 },
  limits: { bodyBytes: 65536, longJobsPerUpstream: 0, queuePerUpstream: 1, ticketValidMs: 60000 },
});

function change(id: string, expected: number, source: Change['source']): Change {
  const expectedRevision = expected as Revision;
  const changeId = id as ChangeId;
  const origin = { who: 'ana', cause: 'trial', atMs: 1000 };
  return { service: SERVICE, region: REGION, changeId, expectedRevision, source, ...origin };
}

const text = (value: string): Change['source'] => ({ type: 'text', text: value, file: 'f.jsonc' });

const penalty = (value: number) => PADRON.replace('"movePenalty": 0', `"movePenalty": ${value}`);

/** Applies three consecutive changes and returns the store and its value. */
async function threeChanges() {
  const store = new MemoryStore({ clock: new VirtualClock() });
  const tools = { store, clock: new VirtualClock(), log: () => {} };
  for (const [index, id] of ['c1', 'c2', 'c3'].entries()) {
    const wanted = change(id, index === 0 ? 0 : index + 1, text(penalty(index)));
    (await acceptChange(createAcceptance(wanted, sha256), tools)).unwrap();
  }
  const value = store.model.get(KEY)?.value ?? '';
  return { store, tools, stored: decodeStored(value).unwrap() };
}

test('property: the hunks of a line diff turn the first text into the second', (t) => {
  const lines = fc.array(fc.constantFrom('a', 'b', 'c', '')).map((list) => list.join('\n'));
  const property = fc.property(
    lines,
    lines,
    (before, after) => patchLines(before, diffLines(before, after)) === after,
  );
  t.notThrows(() => fc.assert(property, { seed: 3, numRuns: 1000 }));
});

test('a rollback is a new change that restores an earlier text', async (t) => {
  const { store, tools } = await threeChanges();
  const wanted = change('c4', 4, { type: 'rollback', to: 'c1' as ChangeId });
  const accepted = (await acceptChange(createAcceptance(wanted, sha256), tools)).unwrap();
  t.is(Number(accepted.revision), 5);
  const stored = decodeStored(store.model.get(KEY)?.value ?? '').unwrap();
  t.is(stored.document, penalty(0));
  t.deepEqual(
    stored.audit.map(({ act }) => act),
    ['apply', 'apply', 'apply', 'rollback'],
  );
  t.true(verifyChain(stored.audit, stored.document, sha256).ok);
  const lost = change('c5', 5, { type: 'rollback', to: 'nobody' as ChangeId });
  const refused = await acceptChange(createAcceptance(lost, sha256), tools);
  t.is(refused.err && refused.val.type, 'change-not-kept');
});

test('a repeated change id returns the original outcome, and with another text it is refused', async (t) => {
  const { store, tools } = await threeChanges();
  const again = change('c2', 2, text(penalty(1)));
  const accepted = (await acceptChange(createAcceptance(again, sha256), tools)).unwrap();
  t.is(Number(accepted.revision), 3);
  t.is(Number(store.model.revision), 4);
  const other = change('c2', 2, text(penalty(7)));
  const refused = await acceptChange(createAcceptance(other, sha256), tools);
  t.is(refused.err && refused.val.type, 'change-id-reused');
});

/** Modifications of a stored value that the audit chain must detect. */
const TAMPERINGS: Readonly<Record<string, (stored: StoredService) => StoredService>> = {
  'a replaced document': (stored) => ({ ...stored, document: penalty(9) }),
  'a removed entry': ({ audit, ...rest }) => ({
    ...rest,
    audit: audit.filter(({ index }) => index !== 2),
  }),
  'a removed last entry': ({ audit, ...rest }) => ({ ...rest, audit: audit.slice(0, -1) }),
  'a changed operator': ({ audit, ...rest }) => ({
    ...rest,
    audit: audit.map((entry) => ({ ...entry, who: 'eva' })),
  }),
  'a changed cause': ({ audit, ...rest }) => ({
    ...rest,
    audit: audit.map((entry) => ({ ...entry, cause: 'none' })),
  }),
  'reordered entries': ({ audit, ...rest }) => ({ ...rest, audit: [...audit].reverse() }),
};

for (const [name, tamper] of Object.entries(TAMPERINGS)) {
  test(`the audit chain detects ${name}`, async (t) => {
    const { stored } = await threeChanges();
    t.true(verifyChain(stored.audit, stored.document, sha256).ok);
    const { audit, document } = tamper(stored);
    const verified = verifyChain(audit, document, sha256);
    t.is(verified.err && verified.val.type, 'audit-broken');
  });
}

const LOST = { type: 'store-outcome-unknown' as const, detail: 'The answer was lost.' };
const DOWN = { type: 'store-unavailable' as const, detail: 'The store is down.' };
const NOTHING: AcceptanceEvent = { type: 'read', item: undefined };

/** Returns the value written by the first change. */
function written(): string {
  const start = createAcceptance(change('c1', 0, text(SMALL)), sha256);
  const [effect] = stepAcceptance(start, NOTHING, 0).effects;
  return effect?.type === 'swap' ? (effect.swap.value ?? '') : '';
}

const OURS = { key: KEY, value: written(), revision: 2 as Revision };

const SESSIONS: Readonly<Record<string, readonly AcceptanceEvent[]>> = {
  'accept-first': [{ type: 'start' }, NOTHING, { type: 'swapped', revision: 2 as Revision }],
  'accept-lost-answer': [
    { type: 'start' },
    NOTHING,
    { type: 'failed', failure: LOST },
    { type: 'read', item: OURS },
  ],
  'accept-lost-write': [
    { type: 'start' },
    NOTHING,
    { type: 'failed', failure: LOST },
    NOTHING,
    { type: 'conflict', current: OURS },
  ],
  'accept-outage': [
    { type: 'start' },
    NOTHING,
    { type: 'failed', failure: LOST },
    ...Array.from({ length: 7 }, (): AcceptanceEvent[] => [
      { type: 'failed', failure: DOWN },
      { type: 'waited' },
    ]).flat(),
  ],
};

for (const [name, events] of Object.entries(SESSIONS)) {
  test(`golden: the acceptance session ${name}`, (t) => {
    const start = createAcceptance(change('c1', 0, text(SMALL)), sha256);
    session(
      t,
      name,
      stepAcceptance,
      start,
      events.map((event, atMs) => ({ atMs, event })),
    );
  });
}

test('golden: the acceptance session accept-conflict', (t) => {
  const theirs = SMALL.replace('"deadlineMs":500', '"deadlineMs":900');
  const start = createAcceptance(change('c2', 1, text(theirs)), sha256);
  session(t, 'accept-conflict', stepAcceptance, start, [
    { atMs: 0, event: { type: 'start' } },
    { atMs: 1, event: { type: 'read', item: OURS } },
  ]);
});
