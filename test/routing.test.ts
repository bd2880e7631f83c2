import test from 'ava';
import fc from 'fast-check';
import type { Transition, Incarnation, RequestId, UpstreamId } from '../src/base/index.js';
import { refuse } from '../src/core/refusal/index.js';
import {
  createRouting,
  heldElsewhere,
  stepRouting,
  type RoutingEffect,
  type RoutingEvent,
  type RoutingState,
} from '../src/core/routing/index.js';
import type { UpstreamLoad } from '../src/wire/index.js';
import { cell } from './support/cell.js';
import { session, type TimedEvent } from './support/session.js';

const SEED = 7;
const THREE_UPSTREAMS = ['a@north', 'b@south', 'c@south'];
const { declared, record, want, outcome, member } = cell;

function start(): RoutingState {
  return createRouting('north', SEED);
}

function drive(
  happenings: readonly TimedEvent<RoutingEvent>[],
  from = start(),
): Transition<RoutingState, RoutingEffect> {
  let state = from;
  const effects: RoutingEffect[] = [];
  for (const { atMs, event } of happenings) {
    const change = stepRouting(state, event, atMs);
    state = change.state;
    effects.push(...change.effects);
  }
  return { state, effects };
}

function at(atMs: number, ...events: readonly RoutingEvent[]): TimedEvent<RoutingEvent>[] {
  return events.map((event) => ({ atMs, event }));
}

function chosen(effects: readonly RoutingEffect[]): string[] {
  return effects.flatMap((effect) => (effect.type === 'choose' ? [effect.upstream] : []));
}

function load(running: number, ageMs = 0): UpstreamLoad {
  return { running, queued: 0, slots: 4, estimatedWaitMs: 0, ageMs };
}

const ready = at(
  0,
  declared(THREE_UPSTREAMS, ['notice', 'letter']),
  record('a', ['notice']),
  record('b', ['notice']),
  record('c', ['letter']),
  member('a', 'ready'),
  member('b', 'ready'),
  member('c', 'ready'),
);

test('golden: if the only upstream with a model is unreachable, the model is loaded elsewhere', (t) => {
  const end = session(t, 'routing-zone-lost', stepRouting, start(), [
    ...ready,
    ...at(10_000, want('r1', 'letter')),
    ...at(10_010, outcome('r1', 'c', 'unreachable', { target: cell.target('letter') })),
    ...at(10_011, want('r1', 'letter', { tried: ['c' as UpstreamId], remainingMs: 4_900 })),
    ...at(10_020, {
      type: 'rescued',
      target: cell.target('letter'),
      upstream: 'b' as UpstreamId,
      reply: { accepted: true, estimatedReadyMs: 2_000, refusal: undefined },
    }),
    ...at(10_500, want('r2', 'letter', { remainingMs: 1_000 })),
    ...at(11_900, record('b', ['notice', 'letter'])),
  ]);
  t.is(end.waiting.size, 0);
  t.is(end.rescues.size, 0);
});

test('golden: many requests for one cold model cause one load and are sent together', (t) => {
  const wants = ['r1', 'r2', 'r3', 'r4', 'r5'].map((id) => want(id, 'cold'));
  const happenings = [
    ...at(
      0,
      declared(THREE_UPSTREAMS, ['cold']),
      record('a', []),
      record('b', []),
      record('c', []),
    ),
    ...at(1_000, ...wants),
    ...at(1_100, {
      type: 'rescued' as const,
      target: cell.target('cold'),
      upstream: 'c' as UpstreamId,
      reply: { accepted: true, estimatedReadyMs: 2_500, refusal: undefined },
    }),
    ...at(1_200, record('c', ['cold:loading'])),
    ...at(1_300, want('late', 'cold', { remainingMs: 500 })),
    ...at(3_400, record('c', ['cold'])),
  ];
  session(t, 'routing-cold-model', stepRouting, start(), happenings);
  const { effects } = drive(happenings);
  t.is(effects.filter(({ type }) => type === 'rescue').length, 1);
  t.deepEqual(chosen(effects), ['c', 'c', 'c', 'c', 'c']);
});

test('golden: without recent load reports, only own requests count', (t) => {
  const end = session(t, 'routing-reports-stop', stepRouting, start(), [
    ...at(
      0,
      declared(['a@north', 'b@north'], ['notice']),
      record('a', ['notice']),
      record('b', ['notice']),
    ),
    ...at(10_000, want('r1', 'notice')),
    ...at(10_001, outcome('r1', 'a', 'answered', { load: load(4) })),
    ...at(10_100, want('r2', 'notice'), want('r3', 'notice'), want('r4', 'notice')),
    ...at(60_000, want('r5', 'notice'), want('r6', 'notice'), want('r7', 'notice')),
    ...at(60_001, want('r8', 'notice')),
  ]);
  t.is(end.upstreams.get('a' as UpstreamId)?.inFlight, 3);
});

test('golden: lost cache events only lower the score of a prefix', (t) => {
  const prefix = { prefixHash: 'p1' };
  session(t, 'routing-cache-gap', stepRouting, start(), [
    ...at(
      0,
      declared(['a@north', 'b@north'], ['notice']),
      record('a', ['notice']),
      record('b', ['notice']),
    ),
    ...at(10_000, {
      type: 'cached',
      upstream: 'b' as UpstreamId,
      change: 'stored',
      prefixHash: 'p1',
      ageMs: 500,
    }),
    ...at(10_100, want('r1', 'notice', prefix)),
    ...at(10_150, outcome('r1', 'b', 'answered')),
    ...at(10_200, {
      type: 'cached',
      upstream: 'b' as UpstreamId,
      change: 'gap',
      prefixHash: '',
      ageMs: 0,
    }),
    ...at(10_300, want('r2', 'notice', prefix)),
    ...at(10_350, outcome('r2', 'b', 'answered')),
    ...at(10_400, {
      type: 'cached',
      upstream: 'b' as UpstreamId,
      change: 'evicted',
      prefixHash: 'p1',
      ageMs: 0,
    }),
    ...at(10_500, want('r3', 'notice', prefix)),
  ]);
  t.pass();
});

test('a new replica gets only a few requests at first', (t) => {
  const wants = Array.from({ length: 12 }, (_, index) => want(`r${index}`, 'notice'));
  const before = drive([
    ...at(
      0,
      declared(['a@north', 'b@north'], ['notice']),
      record('a', ['notice']),
      record('b', []),
    ),
    ...at(10_000, record('a', ['notice'], { load: load(2) })),
  ]);
  const appeared = drive(at(10_000, record('b', ['notice']), ...wants), before.state);
  const first = chosen(appeared.effects).filter((id) => id === 'b').length;
  t.true(first >= 1 && first <= 3, `${first} of 12 went to the new replica at once`);
});

test('a cancelled request is no longer in flight and does not affect the health of its upstream', (t) => {
  const sent = drive([...ready, ...at(10_000, want('r1', 'notice'))]);
  const before = sent.state.upstreams.get('a' as UpstreamId);
  t.is(before?.inFlight, 1);
  const { state } = drive(at(10_001, outcome('r1', 'a', 'cancelled')), sent.state);
  t.deepEqual(state.upstreams.get('a' as UpstreamId), { ...before!, inFlight: 0 });
});

test('if all upstreams are full, a request is refused at once with the time until the first has capacity', (t) => {
  const full = (id: string, retryAfterMs: number) => ({
    refusal: refuse('queue-full', 'Full.', { retryAfterMs, candidates: [id] }),
  });
  const { effects } = drive([
    ...ready,
    ...at(10_000, want('r1', 'notice')),
    ...at(10_001, outcome('r1', 'a', 'refused', full('b', 700))),
    ...at(10_002, want('r1', 'notice', { tried: ['a' as UpstreamId] })),
    ...at(10_003, outcome('r1', 'b', 'refused', full('a', 300))),
    ...at(10_004, want('r1', 'notice', { tried: ['a', 'b'] as UpstreamId[] })),
  ]);
  t.deepEqual(chosen(effects), ['a', 'b']);
  const last = effects.at(-1);
  t.is(last?.type === 'refuse' ? last.refusal.type : '', 'upstreams-busy');
  t.is(last?.type === 'refuse' ? last.refusal.retryAfterMs : 0, 299);
});

test('if no upstream has room, models that have been in memory long enough may be unloaded', (t) => {
  const refused = (upstream: string): RoutingEvent => ({
    type: 'rescued',
    target: cell.target('cold'),
    upstream: upstream as UpstreamId,
    reply: {
      accepted: false,
      estimatedReadyMs: 0,
      refusal: refuse('memory-full', 'No room.', { retryAfterMs: 0 }),
    },
  });
  const full = drive([
    ...ready,
    ...at(30_000, want('r1', 'cold'), refused('c'), refused('b'), refused('a')),
    ...at(30_010, refused('c'), refused('b'), refused('a')),
  ]);
  const asked = full.effects.flatMap((effect) => (effect.type === 'rescue' ? [effect] : []));
  t.deepEqual(
    asked.map(({ upstream, sharing }) => `${upstream} ${sharing}`),
    ['c false', 'b false', 'a false', 'c true', 'b true', 'a true'],
  );
  t.is(full.effects.at(-1)?.type, 'refuse');
  const b = 'b' as UpstreamId;
  t.deepEqual(heldElsewhere(full.state, b), ['notice']);
  t.deepEqual(heldElsewhere(full.state, 'a' as UpstreamId), []);
  t.deepEqual(heldElsewhere(full.state, 'a' as UpstreamId, 10_000), ['notice']);
});

test('an abandoned request is neither in flight nor waiting', (t) => {
  const abandoned = (requestId: string): RoutingEvent => ({
    type: 'abandoned',
    requestId: requestId as RequestId,
  });
  const sent = drive([...ready, ...at(10_000, want('r1', 'notice'), want('r2', 'cold'))]);
  t.is(sent.state.upstreams.get('a' as UpstreamId)?.inFlight, 1);
  t.is(sent.state.waiting.size, 1);
  const gone = drive(at(10_100, abandoned('r1'), abandoned('r2')), sent.state);
  t.is(gone.state.upstreams.get('a' as UpstreamId)?.inFlight, 0);
  t.is(gone.state.waiting.size, 0);
  t.deepEqual(gone.effects, []);
});

test('failures of an earlier incarnation do not count against a restarted sidecar', (t) => {
  const failures = ['r1', 'r2', 'r3'].flatMap((id, index) => [
    ...at(1_000 + index, want(id, 'letter')),
    ...at(1_500 + index, outcome(id, 'c', 'unreachable', { target: cell.target('letter') })),
  ]);
  const open = drive([...ready, ...failures, ...at(1_600, want('r4', 'letter'))]);
  t.deepEqual(chosen(open.effects), ['c', 'c', 'c']);
  // Membership reports the new incarnation to routing before the record arrives.
  const back = at(
    1_700,
    member('c', 'ready', 2),
    record('c', ['letter'], { incarnation: 2 }),
    want('r5', 'letter'),
  );
  t.deepEqual(chosen(drive(back, open.state).effects), ['c']);
});

test('a leaving upstream gets no new requests except those bound to it by a ticket', (t) => {
  const left = drive([...ready, ...at(5_000, member('a', 'leaving'), member('b', 'leaving'))]);
  const bound = { upstream: 'a' as UpstreamId, incarnation: 1 as Incarnation };
  const ticketed = drive(at(5_001, want('r1', 'notice', { bound })), left.state);
  t.deepEqual(chosen(ticketed.effects), ['a']);
  const fresh = drive(at(5_002, want('r2', 'notice')), left.state);
  t.deepEqual(chosen(fresh.effects), []);
  t.is(fresh.effects[0]?.type, 'rescue');
  const gone = drive(at(5_003, member('a', 'gone'), want('r3', 'notice', { bound })), left.state);
  const [refused] = gone.effects;
  t.is(refused?.type === 'refuse' ? refused.refusal.type : '', 'ticket-upstream-gone');
});

test('retries are refused beyond their fraction of the answers', (t) => {
  const tries = Array.from({ length: 60 }, (_, index) =>
    want(`r${index}`, 'notice', { tried: ['c' as UpstreamId] }),
  );
  const { effects } = drive([...ready, ...at(10_000, ...tries)]);
  t.is(chosen(effects).length, 50);
  const refused = effects.filter(
    (effect) => effect.type === 'refuse' && effect.refusal.type === 'retry-budget-spent',
  );
  t.is(refused.length, 10);
});

test('property: every request is sent or refused exactly once', (t) => {
  const upstream = fc.constantFrom('a', 'b', 'c');
  const event = fc.oneof(
    fc
      .tuple(upstream, fc.subarray(['notice', 'letter:loading', 'letter']))
      .map(([id, held]) => record(id, held, { load: load(2) })),
    fc
      .tuple(upstream, fc.constantFrom('ready', 'suspect', 'leaving', 'gone'))
      .map(([id, phase]) => member(id, phase as 'ready')),
    fc
      .tuple(upstream, fc.constantFrom('answered', 'broken', 'unreachable'))
      .map(([id, end]) => outcome('x', id, end as 'broken')),
    fc.constant({ type: 'tick' }),
    fc
      .constantFrom('notice', 'letter', 'cold')
      .map((model) => want('', model, { remainingMs: 2_000 })),
  );
  const run = fc.property(fc.array(event, { maxLength: 60 }), (events) => {
    let wanted = 0;
    const named = events.map((each) => {
      if (each.type !== 'want') return each;
      wanted += 1;
      return { ...each, want: { ...each.want, requestId: `r${wanted}` as never } };
    });
    const timed = named.map((each, index) => ({ atMs: 1_000 + index * 200, event: each }));
    const last = [
      ...ready,
      ...timed,
      ...at(60_000, { type: 'tick' }),
      ...at(70_000, { type: 'tick' }),
    ];
    const ends = drive(last).effects.flatMap((effect) =>
      effect.type === 'rescue' ? [] : [effect.requestId],
    );
    return ends.length === wanted && new Set(ends).size === wanted;
  });
  t.notThrows(() => fc.assert(run, { seed: SEED, numRuns: 2_000 }));
});
