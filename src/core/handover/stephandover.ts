import type { Transition, Ms, RequestId, UpstreamId } from '../../base/index.js';
import { chartTransition } from '../chart/index.js';
import { assign } from './assign.js';
import chart from './handover.chart.json' with { type: 'json' };
import type { HandOverEffect } from './handovereffect.js';
import type { HandOverEvent } from './handoverevent.js';
import type { HandOverPhase } from './handoverphase.js';
import type { HandOverState } from './handoverstate.js';

type ChartEvent = 'EXPORT' | 'SEND' | 'SETTLE';
type Changed = Transition<HandOverState, HandOverEffect>;
type Handler<Type extends HandOverEvent['type']> = (
  state: HandOverState,
  event: Extract<HandOverEvent, { type: Type }>,
  nowMs: Ms,
) => Changed;

const after = chartTransition<HandOverPhase, ChartEvent>(chart);

/** Applies a chart event to one session; undefined if the event does not change its phase. */
function take(
  state: HandOverState,
  requestId: RequestId,
  event: ChartEvent,
): HandOverState | undefined {
  const session = state.moving.get(requestId);
  if (!session) return undefined;
  const phase = after(session.phase, event);
  if (phase === session.phase) return undefined;
  return { ...state, moving: new Map(state.moving).set(requestId, { ...session, phase }) };
}

function settle(state: HandOverState, requestId: RequestId, upstream?: UpstreamId): Changed {
  const next = take(state, requestId, 'SETTLE');
  if (!next) return { state, effects: [] };
  return { state: next, effects: [{ type: 'settle', requestId, upstream }] };
}

function settleAll(state: HandOverState): Changed {
  let next = state;
  const effects: HandOverEffect[] = [];
  for (const requestId of state.moving.keys()) {
    const change = settle(next, requestId);
    next = change.state;
    effects.push(...change.effects);
  }
  return { state: next, effects };
}

function limitBytesOf({ limits, sentBytes }: HandOverState): number {
  return Math.min(limits.messageBytes, limits.totalBytes - sentBytes);
}

/** Starts exports up to the limit of concurrent sessions. */
function exportNext(change: Changed): Changed {
  let { state } = change;
  const effects = [...change.effects];
  for (const [requestId, { phase, upstream }] of state.moving) {
    const busy = [...state.moving.values()].filter((session) =>
      ['exporting', 'sending'].includes(session.phase),
    );
    if (busy.length >= state.limits.concurrentSessions) break;
    if (phase !== 'waiting' || upstream === undefined) continue;
    const limitBytes = limitBytesOf(state);
    const next = take(state, requestId, 'EXPORT');
    if (!next) continue;
    state = next;
    effects.push({ type: 'export', requestId, limitBytes });
  }
  return { state, effects };
}

const HANDLERS: { readonly [Type in HandOverEvent['type']]: Handler<Type> } = {
  begin: (state, { sessions }, nowMs) => {
    const longestFirst = [...sessions].sort((one, other) => other.tokenCount - one.tokenCount);
    const moving = new Map(
      longestFirst.map((session) => [
        session.requestId,
        { session, phase: 'waiting' as const, upstream: undefined },
      ]),
    );
    return { state: { ...state, moving, untilMs: nowMs + state.limits.timeoutMs }, effects: [] };
  },
  found: (state, { holders }) => {
    const sessions = [...state.moving.values()].map(({ session }) => session);
    const places = assign(sessions, holders);
    const moving = new Map(
      [...state.moving].map(([id, session]) => [id, { ...session, upstream: places.get(id) }]),
    );
    let next: HandOverState = { ...state, moving };
    const effects: HandOverEffect[] = [];
    for (const [requestId, { upstream }] of moving) {
      if (upstream !== undefined) continue;
      const change = settle(next, requestId);
      next = change.state;
      effects.push(...change.effects);
    }
    return { state: next, effects };
  },
  exported: (state, { requestId, sizeBytes }) => {
    if (sizeBytes > limitBytesOf(state)) return settle(state, requestId);
    const next = take(state, requestId, 'SEND');
    const upstream = state.moving.get(requestId)?.upstream;
    if (!next || upstream === undefined) return { state, effects: [] };
    const sentBytes = state.sentBytes + sizeBytes;
    return { state: { ...next, sentBytes }, effects: [{ type: 'send', requestId, upstream }] };
  },
  imported: (state, { requestId }) =>
    settle(state, requestId, state.moving.get(requestId)?.upstream),
  failed: (state, { requestId }) => settle(state, requestId),
  'give-up': settleAll,
  tick: (state, _event, nowMs) =>
    nowMs < state.untilMs ? { state, effects: [] } : settleAll(state),
};

/**
 * Hands the sessions of a stopping upstream over, the longest first, each to the least loaded upstream that has its
 * model, within limits of size and time. If that fails, the session is settled without a target upstream and its
 * stream is continued from its text.
 */
export function stepHandOver(state: HandOverState, event: HandOverEvent, nowMs: Ms): Changed {
  const handle = HANDLERS[event.type] as Handler<HandOverEvent['type']>;
  return exportNext(handle(state, event, nowMs));
}
