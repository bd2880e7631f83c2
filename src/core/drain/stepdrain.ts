import type { Transition, Ms } from '../../base/index.js';
import { chartTransition } from '../chart/index.js';
import chart from './drain.chart.json' with { type: 'json' };
import type { DrainEffect } from './draineffect.js';
import type { DrainEvent } from './drainevent.js';
import type { DrainPhase } from './drainphase.js';
import type { DrainState } from './drainstate.js';

type ChartEvent = 'LEAVES' | 'IDLE' | 'PLACED' | 'TIMEOUT';

const after = chartTransition<DrainPhase, ChartEvent>(chart);

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

/** Returns the chart events whose conditions hold in a state. */
function chartEventsOf(state: DrainState, nowMs: Ms): ChartEvent[] {
  const events: ChartEvent[] = [];
  if (state.reason) events.push('LEAVES');
  if (state.inFlight === 0) events.push('IDLE');
  if (state.unplaced === 0) events.push('PLACED');
  if (nowMs >= state.placeUntilMs) events.push('TIMEOUT');
  return events;
}

function enter(state: DrainState, phase: DrainPhase, nowMs: Ms): DrainState {
  if (phase !== 'placing') return { ...state, phase };
  return { ...state, phase, placeUntilMs: nowMs + state.placeTimeoutMs };
}

/** Drains an upstream: stops new work, waits for requests in flight, then until its models are placed elsewhere. */
export function stepDrain(
  state: DrainState,
  event: DrainEvent,
  nowMs: Ms,
): Transition<DrainState, DrainEffect> {
  const handle = HANDLERS[event.type] as Handler<DrainEvent['type']>;
  let next = handle(state, event);
  const effects: DrainEffect[] = [];
  for (const chartEvent of chartEventsOf(next, nowMs)) {
    const phase = after(next.phase, chartEvent);
    if (phase === next.phase) continue;
    next = enter(next, phase, nowMs);
    effects.push({ type: 'phase', phase, unplaced: next.unplaced });
  }
  return { state: next, effects };
}
