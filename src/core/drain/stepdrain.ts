import type { Change, Ms } from '../../base/index.js';
import { follow } from '../chart/index.js';
import chart from './drain.chart.json' with { type: 'json' };
import type { DrainEffect } from './draineffect.js';
import type { DrainEvent } from './drainevent.js';
import type { DrainPhase } from './drainphase.js';
import type { DrainState } from './drainstate.js';

type Sign = 'LEAVES' | 'IDLE' | 'PLACED' | 'TIMEOUT';

const after = follow<DrainPhase, Sign>(chart);

type Handler<Type extends DrainEvent['type']> = (
  state: DrainState,
  event: Extract<DrainEvent, { type: Type }>,
) => DrainState;

const HANDLERS: { readonly [Type in DrainEvent['type']]: Handler<Type> } = {
  leave: (state, { reason }) => ({ ...state, reason: state.reason ?? reason }),
  'in-flight': (state, { count: inFlight }) => ({ ...state, inFlight }),
  unplaced: (state, { count: unplaced }) => ({ ...state, unplaced }),
  tick: (state) => state,
};

/** What is true of a state, as signs that the chart knows. */
function signsOf(state: DrainState, nowMs: Ms): Sign[] {
  const signs: Sign[] = [];
  if (state.reason) signs.push('LEAVES');
  if (state.inFlight === 0) signs.push('IDLE');
  if (state.unplaced === 0) signs.push('PLACED');
  if (nowMs >= state.placeUntilMs) signs.push('TIMEOUT');
  return signs;
}

function enter(state: DrainState, phase: DrainPhase, nowMs: Ms): DrainState {
  if (phase !== 'placing') return { ...state, phase };
  return { ...state, phase, placeUntilMs: nowMs + state.placeTimeoutMs };
}

/** Leads an upstream out: no new work, then nothing in flight, then its models have other places. */
export function stepDrain(
  state: DrainState,
  event: DrainEvent,
  nowMs: Ms,
): Change<DrainState, DrainEffect> {
  const handle = HANDLERS[event.type] as Handler<DrainEvent['type']>;
  let next = handle(state, event);
  const effects: DrainEffect[] = [];
  for (const sign of signsOf(next, nowMs)) {
    const phase = after(next.phase, sign);
    if (phase === next.phase) continue;
    next = enter(next, phase, nowMs);
    effects.push({ type: 'phase', phase, unplaced: next.unplaced });
  }
  return { state: next, effects };
}
