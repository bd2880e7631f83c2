import type { Transition } from '../../src/base/index.js';
import { emptyEngine } from './emptyengine.js';
import type { EngineEffect } from './engineeffect.js';
import type { EngineState } from './enginestate.js';

/** Restarts the engine: clears all state except the counters and the highest fencing token, and cuts every answer. */
export function restart(state: EngineState): Transition<EngineState, EngineEffect> {
  const live = [...state.requests.values()].filter(
    ({ phase }) => phase === 'running' || phase === 'waiting',
  );
  const { counts, highestFencingToken } = state;
  const kept = { counts, highestFencingToken, restarts: state.restarts + 1 };
  return {
    state: { ...emptyEngine, ...kept },
    effects: live.map(({ key }) => ({ type: 'cut', key })),
  };
}
