import type { Change } from '../../src/base/index.js';
import { emptyEngine } from './emptyengine.js';
import type { EngineEffect } from './engineeffect.js';
import type { EngineState } from './enginestate.js';

/** The engine loses all that it held; every answer that ran or waited is cut. */
export function restart(state: EngineState): Change<EngineState, EngineEffect> {
  const live = [...state.requests.values()].filter(
    ({ phase }) => phase === 'running' || phase === 'waiting',
  );
  return {
    state: { ...emptyEngine, restarts: state.restarts + 1, counts: state.counts },
    effects: live.map(({ key }) => ({ type: 'cut', key })),
  };
}
