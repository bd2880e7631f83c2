import type { Ms, Transition } from '../../base/index.js';
import { chartTransition } from '../chart/index.js';
import chart from './overload.chart.json' with { type: 'json' };
import type { OverloadEffect } from './overloadeffect.js';
import type { OverloadEvent } from './overloadevent.js';
import type { OverloadPhase } from './overloadphase.js';
import { overloadRules as rules } from './overloadrules.js';
import type { OverloadState } from './overloadstate.js';

type OverloadTransition = Transition<OverloadState, OverloadEffect>;

type Handler<Type extends OverloadEvent['type']> = (
  state: OverloadState,
  event: Extract<OverloadEvent, { type: Type }>,
  nowMs: Ms,
) => OverloadTransition;

const after = chartTransition<OverloadPhase, 'STANDING' | 'DRAINED'>(chart);

function drained(state: OverloadState, nowMs: Ms): OverloadTransition {
  const { closedCount, sheddingSinceMs } = state;
  return {
    state: {
      ...state,
      phase: after(state.phase, 'DRAINED'),
      standingSinceMs: undefined,
      standingTurns: 0,
    },
    effects: [{ type: 'drained', closedCount, sheddingForMs: nowMs - sheddingSinceMs }],
  };
}

const HANDLERS: { readonly [Type in OverloadEvent['type']]: Handler<Type> } = {
  connection: (before, { mayClose }, nowMs) => {
    const state = { ...before, standingSinceMs: before.standingSinceMs ?? nowMs };
    const isDue = nowMs - state.acceptedAtMs >= rules.acceptEveryMs;
    if (state.phase === 'open' || isDue) {
      return { state: { ...state, acceptedAtMs: nowMs }, effects: [{ type: 'accept' }] };
    }
    if (!mayClose && state.refusedCount < rules.maxRefused) {
      return {
        state: { ...state, refusedCount: state.refusedCount + 1 },
        effects: [{ type: 'refuse' }],
      };
    }
    return {
      state: { ...state, closedCount: state.closedCount + 1 },
      effects: [{ type: 'close' }],
    };
  },
  polled: (before, { isQueueEmpty }, nowMs) => {
    if (isQueueEmpty) {
      if (before.phase === 'shedding') return drained(before, nowMs);
      return { state: { ...before, standingSinceMs: undefined, standingTurns: 0 }, effects: [] };
    }
    const state = { ...before, standingTurns: before.standingTurns + 1 };
    const standingForMs = nowMs - (state.standingSinceMs ?? nowMs);
    const isStanding =
      standingForMs >= rules.standingMs && state.standingTurns >= rules.standingTurns;
    if (!isStanding || state.phase === 'shedding') return { state, effects: [] };
    const phase = after(state.phase, 'STANDING');
    const counts = { refusedCount: 0, closedCount: 0 };
    return { state: { ...state, ...counts, phase, sheddingSinceMs: nowMs }, effects: [] };
  },
};

/** Decides whether a process accepts a connection, refuses its request or closes it, by how long the accept queue has been standing. */
export function stepOverload(
  state: OverloadState,
  event: OverloadEvent,
  nowMs: Ms,
): OverloadTransition {
  return HANDLERS[event.type](state, event as never, nowMs);
}
