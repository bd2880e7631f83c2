import test from 'ava';
import type { Incarnation, UpstreamId } from '../src/base/index.js';
import { stepMember, type MemberEvent, type MemberState } from '../src/core/member/index.js';
import { session, type TimedEvent } from './support/session.js';

const A = 'redactor-1' as UpstreamId;
const EMPTY: MemberState = { members: new Map() };

function recorded(incarnation: number, phase = 'ready'): MemberEvent {
  return { type: 'recorded', upstream: A, incarnation: incarnation as Incarnation, phase };
}

function listed(state?: 'live' | 'leaving'): MemberEvent {
  return { type: 'listed', hosts: state ? [{ upstream: A, state }] : [] };
}

function run(happenings: readonly TimedEvent<MemberEvent>[]): MemberState {
  let state = EMPTY;
  for (const { atMs, event } of happenings) state = stepMember(state, event, atMs).state;
  return state;
}

function phaseAfter(happenings: readonly TimedEvent<MemberEvent>[]): string | undefined {
  return run(happenings).members.get(A)?.phase;
}

test('golden: a flapping host stays suspect for longer each time', (t) => {
  const failures = (atMs: number): TimedEvent<MemberEvent>[] =>
    [0, 10, 20].map((later) => ({ atMs: atMs + later, event: { type: 'failed', upstream: A } }));
  const contacts = (atMs: number): TimedEvent<MemberEvent>[] =>
    [0, 500, 1_000, 2_000, 4_000].map((later) => ({
      atMs: atMs + later,
      event: { type: 'heard', upstream: A },
    }));
  const end = session(t, 'member-flapping', stepMember, EMPTY, [
    { atMs: 0, event: recorded(1) },
    ...failures(1_000),
    ...contacts(1_100),
    ...failures(6_000),
    ...contacts(6_100),
    ...failures(11_000),
    ...contacts(11_100),
    { atMs: 80_000, event: { type: 'tick' } },
  ]);
  t.is(end.members.get(A)?.phase, 'ready');
  t.is(end.members.get(A)?.suspicions, 2);
});

test('golden: a host leaves and its sidecar returns under a new incarnation', (t) => {
  const end = session(t, 'member-renewed', stepMember, EMPTY, [
    { atMs: 0, event: listed('live') },
    { atMs: 100, event: recorded(1) },
    { atMs: 5_000, event: { type: 'refused-leaving', upstream: A } },
    { atMs: 6_000, event: recorded(1) },
    { atMs: 7_000, event: listed('live') },
    { atMs: 9_000, event: recorded(2) },
    { atMs: 9_500, event: listed('leaving') },
    { atMs: 10_000, event: recorded(1, 'gone') },
    { atMs: 50_000, event: listed('leaving') },
  ]);
  t.is(end.members.get(A)?.phase, 'leaving');
});

test('a host that still answers is not removed because the host list lacks it', (t) => {
  const absent = [10_000, 20_000, 80_000].map((atMs) => ({ atMs, event: listed() }));
  const alive = { atMs: 79_000, event: { type: 'heard' as const, upstream: A } };
  t.is(
    phaseAfter([{ atMs: 0, event: recorded(1) }, ...absent.slice(0, 1), alive, ...absent.slice(2)]),
    'ready',
  );
  t.is(phaseAfter([{ atMs: 0, event: recorded(1) }, ...absent.slice(0, 2)]), 'suspect');
  t.is(phaseAfter([{ atMs: 0, event: recorded(1) }, ...absent]), 'gone');
});

test('failed calls between answered ones do not make a host suspect', (t) => {
  const calls = Array.from({ length: 30 }, (_, index) => ({
    atMs: index * 100,
    event: { type: index % 3 === 0 ? ('heard' as const) : ('failed' as const), upstream: A },
  }));
  t.is(phaseAfter([{ atMs: 0, event: recorded(1) }, ...calls]), 'ready');
});
