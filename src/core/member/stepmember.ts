import type { Change, Incarnation, Ms, Step, UpstreamId } from '../../base/index.js';
import { follow } from '../chart/index.js';
import chart from './member.chart.json' with { type: 'json' };
import type { Member } from './member.js';
import type { MemberEffect } from './membereffect.js';
import type { MemberEvent } from './memberevent.js';
import { memberLimits } from './memberlimits.js';
import type { MemberPhase } from './memberphase.js';
import type { MemberState } from './memberstate.js';

type ChartEvent = 'CONFIRMED' | 'DOUBTED' | 'LEAVES' | 'LOST' | 'RENEWED';
type Event<Type> = Extract<MemberEvent, { type: Type }>;
type Changes = ReadonlyMap<UpstreamId, Member>;

const next = follow<MemberPhase, ChartEvent>(chart);

function fresh(nowMs: Ms, incarnation = 0): Member {
  return {
    phase: 'joining',
    incarnation: incarnation as Incarnation,
    renewedAtMs: nowMs,
    heardAtMs: nowMs,
    failures: 0,
    confirmations: 0,
    doubts: 0,
    doubtedAtMs: -Infinity,
  };
}

function move(member: Member, event: ChartEvent): Member {
  return { ...member, phase: next(member.phase, event) };
}

/** How long the member stays doubted: longer each time, so that a flapping host stays out. */
function doubtMs({ doubts }: Member): Ms {
  return Math.min(memberLimits.longestDoubtMs, memberLimits.doubtMs * 2 ** (doubts - 1));
}

function isDoubtOver(member: Member, nowMs: Ms): boolean {
  if (member.phase !== 'suspect') return true;
  if (member.confirmations < memberLimits.signsToConfirm) return false;
  return nowMs - member.doubtedAtMs >= doubtMs(member);
}

function heard(member: Member, nowMs: Ms): Member {
  const confirmations = member.confirmations + 1;
  const alive = { ...member, heardAtMs: nowMs, failures: 0, confirmations };
  if (member.phase === 'ready') return alive;
  return isDoubtOver(alive, nowMs) ? move(alive, 'CONFIRMED') : alive;
}

function doubt(member: Member, nowMs: Ms): Member {
  const doubted = move(member, 'DOUBTED');
  if (doubted.phase === member.phase) return member;
  return { ...doubted, doubts: member.doubts + 1, doubtedAtMs: nowMs, confirmations: 0 };
}

function failed(member: Member, nowMs: Ms): Member {
  const failures = member.failures + 1;
  const counted = { ...member, failures, confirmations: 0 };
  if (failures < memberLimits.failuresToDoubt) return counted;
  return doubt(counted, nowMs);
}

function absent(member: Member, nowMs: Ms): Member {
  const absentSinceMs = member.absentSinceMs ?? nowMs;
  const missing = { ...member, absentSinceMs };
  const silentMs = nowMs - Math.max(absentSinceMs, member.heardAtMs);
  if (silentMs >= memberLimits.lostMs) return move(missing, 'LOST');
  return silentMs >= memberLimits.absentMs ? doubt(missing, nowMs) : missing;
}

function listed(member: Member, state: 'live' | 'leaving', nowMs: Ms): Member {
  const { absentSinceMs, ...present } = member;
  // The list may still speak of the incarnation before this one.
  const current = nowMs - member.renewedAtMs >= memberLimits.listLagMs || member.incarnation === 0;
  if (state === 'leaving' && current) return move(present, 'LEAVES');
  if (member.phase !== 'gone' || absentSinceMs === undefined) return present;
  return { ...move(present, 'RENEWED'), heardAtMs: nowMs, failures: 0 };
}

function settleQuiet(member: Member, nowMs: Ms): Member {
  if (member.doubts === 0 || member.phase === 'suspect') return member;
  if (nowMs - member.doubtedAtMs < memberLimits.quietMs) return member;
  return { ...member, doubts: member.doubts - 1, doubtedAtMs: nowMs };
}

const WORDS: Readonly<Record<string, (member: Member, nowMs: Ms) => Member>> = {
  ready: heard,
  leaving: (member) => move(member, 'LEAVES'),
  gone: (member) => move(member, 'LOST'),
  joining: (member, nowMs) => ({ ...member, heardAtMs: nowMs }),
};

function recorded(member: Member, event: Event<'recorded'>, nowMs: Ms): Member {
  if (event.incarnation < member.incarnation) return member;
  const isNew = event.incarnation > member.incarnation;
  const base = isNew ? { ...fresh(nowMs, event.incarnation), doubts: member.doubts } : member;
  return WORDS[event.phase]?.(base, nowMs) ?? base;
}

function one(
  state: MemberState,
  upstream: UpstreamId,
  nowMs: Ms,
  change: (member: Member) => Member,
): Changes {
  return new Map([[upstream, change(state.members.get(upstream) ?? fresh(nowMs))]]);
}

function allListed(state: MemberState, event: Event<'listed'>, nowMs: Ms): Changes {
  const changes = new Map<UpstreamId, Member>();
  const states = new Map(event.hosts.map((host) => [host.upstream, host.state]));
  for (const [upstream, host] of states) {
    changes.set(upstream, listed(state.members.get(upstream) ?? fresh(nowMs), host, nowMs));
  }
  for (const [upstream, member] of state.members) {
    if (!states.has(upstream)) changes.set(upstream, absent(member, nowMs));
  }
  return changes;
}

const HANDLERS: {
  readonly [Type in MemberEvent['type']]: (
    state: MemberState,
    event: Event<Type>,
    nowMs: Ms,
  ) => Changes;
} = {
  listed: allListed,
  recorded: (state, event, nowMs) =>
    one(state, event.upstream, nowMs, (member) => recorded(member, event, nowMs)),
  heard: (state, { upstream }, nowMs) =>
    one(state, upstream, nowMs, (member) => heard(member, nowMs)),
  failed: (state, { upstream }, nowMs) =>
    one(state, upstream, nowMs, (member) => failed(member, nowMs)),
  'refused-leaving': (state, { upstream }, nowMs) =>
    one(state, upstream, nowMs, (member) => move(member, 'LEAVES')),
  tick: (state, _event, nowMs) => {
    const settled = new Map<UpstreamId, Member>();
    for (const [upstream, member] of state.members) {
      const quiet = settleQuiet(member, nowMs);
      if (quiet !== member) settled.set(upstream, quiet);
    }
    return settled;
  },
};

function effectsOf(state: MemberState, changes: Changes): MemberEffect[] {
  const effects: MemberEffect[] = [];
  for (const [upstream, { phase, incarnation }] of changes) {
    const before = state.members.get(upstream);
    if (before?.phase === phase && before.incarnation === incarnation) continue;
    const from = before?.phase ?? 'joining';
    effects.push({ type: 'member-changed', upstream, incarnation, from, to: phase });
  }
  return effects;
}

/** Takes one piece of news about upstreams' liveness. */
export const stepMember: Step<MemberState, MemberEvent, MemberEffect> = (state, event, nowMs) => {
  const handle = HANDLERS[event.type] as (
    state: MemberState,
    event: MemberEvent,
    nowMs: Ms,
  ) => Changes;
  const changes = handle(state, event, nowMs);
  if (changes.size === 0) return { state, effects: [] };
  const members = new Map([...state.members, ...changes]);
  const change: Change<MemberState, MemberEffect> = {
    state: { members },
    effects: effectsOf(state, changes),
  };
  return change;
};
