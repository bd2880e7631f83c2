import type { Transition } from '../../src/base/index.js';
import { emptyEngine } from './emptyengine.js';
import type { EngineEffect } from './engineeffect.js';
import type { EngineState } from './enginestate.js';

/** The engine loses all that it held but the highest fencing token; every answer that ran is cut. */
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
