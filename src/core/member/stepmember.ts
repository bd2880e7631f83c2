import type { Transition, Incarnation, Ms, Step, UpstreamId } from '../../base/index.js';
import { chartTransition } from '../chart/index.js';
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

const nextPhase = chartTransition<MemberPhase, ChartEvent>(chart);

function newMember(nowMs: Ms, incarnation = 0): Member {
  return {
    phase: 'joining',
    incarnation: incarnation as Incarnation,
    incarnationSinceMs: nowMs,
    lastContactAtMs: nowMs,
    failures: 0,
    contacts: 0,
    suspicions: 0,
    suspectedAtMs: -Infinity,
  };
}

function advance(member: Member, event: ChartEvent): Member {
  return { ...member, phase: nextPhase(member.phase, event) };
}

/** Returns the minimum time in `suspect`. It doubles each time, so that a flapping host stays out. */
function suspectMs({ suspicions }: Member): Ms {
  return Math.min(memberLimits.maxSuspectMs, memberLimits.suspectMs * 2 ** (suspicions - 1));
}

function mayRecover(member: Member, nowMs: Ms): boolean {
  if (member.phase !== 'suspect') return true;
  if (member.contacts < memberLimits.contactsToConfirm) return false;
  return nowMs - member.suspectedAtMs >= suspectMs(member);
}

function heard(member: Member, nowMs: Ms): Member {
  const contacts = member.contacts + 1;
  const alive = { ...member, lastContactAtMs: nowMs, failures: 0, contacts };
  if (member.phase === 'ready') return alive;
  return mayRecover(alive, nowMs) ? advance(alive, 'CONFIRMED') : alive;
}

function markSuspect(member: Member, nowMs: Ms): Member {
  const suspected = advance(member, 'DOUBTED');
  if (suspected.phase === member.phase) return member;
  return { ...suspected, suspicions: member.suspicions + 1, suspectedAtMs: nowMs, contacts: 0 };
}

function failed(member: Member, nowMs: Ms): Member {
  const failures = member.failures + 1;
  const counted = { ...member, failures, contacts: 0 };
  if (failures < memberLimits.failuresToSuspect) return counted;
  return markSuspect(counted, nowMs);
}

function absent(member: Member, nowMs: Ms): Member {
  const absentSinceMs = member.absentSinceMs ?? nowMs;
  const missing = { ...member, absentSinceMs };
  const silentMs = nowMs - Math.max(absentSinceMs, member.lastContactAtMs);
  if (silentMs >= memberLimits.lostMs) return advance(missing, 'LOST');
  return silentMs >= memberLimits.absentMs ? markSuspect(missing, nowMs) : missing;
}

function listed(member: Member, state: 'live' | 'leaving', nowMs: Ms): Member {
  const { absentSinceMs, ...present } = member;
  // The lagging list may still describe the previous incarnation.
  const current =
    nowMs - member.incarnationSinceMs >= memberLimits.listLagMs || member.incarnation === 0;
  if (state === 'leaving' && current) return advance(present, 'LEAVES');
  if (member.phase !== 'gone' || absentSinceMs === undefined) return present;
  return { ...advance(present, 'RENEWED'), lastContactAtMs: nowMs, failures: 0 };
}

function decaySuspicion(member: Member, nowMs: Ms): Member {
  if (member.suspicions === 0 || member.phase === 'suspect') return member;
  if (nowMs - member.suspectedAtMs < memberLimits.quietMs) return member;
  return { ...member, suspicions: member.suspicions - 1, suspectedAtMs: nowMs };
}

const RECORDED_PHASES: Readonly<Record<string, (member: Member, nowMs: Ms) => Member>> = {
  ready: heard,
  leaving: (member) => advance(member, 'LEAVES'),
  gone: (member) => advance(member, 'LOST'),
  joining: (member, nowMs) => ({ ...member, lastContactAtMs: nowMs }),
};

function recorded(member: Member, event: Event<'recorded'>, nowMs: Ms): Member {
  if (event.incarnation < member.incarnation) return member;
  const isNew = event.incarnation > member.incarnation;
  const base = isNew
    ? { ...newMember(nowMs, event.incarnation), suspicions: member.suspicions }
    : member;
  return RECORDED_PHASES[event.phase]?.(base, nowMs) ?? base;
}

function changeMember(
  state: MemberState,
  upstream: UpstreamId,
  nowMs: Ms,
  change: (member: Member) => Member,
): Changes {
  return new Map([[upstream, change(state.members.get(upstream) ?? newMember(nowMs))]]);
}

function onHostList(state: MemberState, event: Event<'listed'>, nowMs: Ms): Changes {
  const changes = new Map<UpstreamId, Member>();
  const states = new Map(event.hosts.map((host) => [host.upstream, host.state]));
  for (const [upstream, host] of states) {
    changes.set(upstream, listed(state.members.get(upstream) ?? newMember(nowMs), host, nowMs));
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
  listed: onHostList,
  recorded: (state, event, nowMs) =>
    changeMember(state, event.upstream, nowMs, (member) => recorded(member, event, nowMs)),
  heard: (state, { upstream }, nowMs) =>
    changeMember(state, upstream, nowMs, (member) => heard(member, nowMs)),
  failed: (state, { upstream }, nowMs) =>
    changeMember(state, upstream, nowMs, (member) => failed(member, nowMs)),
  'refused-leaving': (state, { upstream }, nowMs) =>
    changeMember(state, upstream, nowMs, (member) => advance(member, 'LEAVES')),
  tick: (state, _event, nowMs) => {
    const settled = new Map<UpstreamId, Member>();
    for (const [upstream, member] of state.members) {
      const decayed = decaySuspicion(member, nowMs);
      if (decayed !== member) settled.set(upstream, decayed);
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

/** Handles one event about the liveness of upstreams. */
export const stepMember: Step<MemberState, MemberEvent, MemberEffect> = (state, event, nowMs) => {
  const handle = HANDLERS[event.type] as (
    state: MemberState,
    event: MemberEvent,
    nowMs: Ms,
  ) => Changes;
  const changes = handle(state, event, nowMs);
  if (changes.size === 0) return { state, effects: [] };
  const members = new Map([...state.members, ...changes]);
  const change: Transition<MemberState, MemberEffect> = {
    state: { members },
    effects: effectsOf(state, changes),
  };
  return change;
};
