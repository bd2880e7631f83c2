import { createMachine, transition } from 'xstate';
import chart from './store.chart.json' with { type: 'json' };
import type { MeshChange } from './meshchange.js';
import type { MeshEffect } from './mesheffect.js';
import type { MeshState } from './meshstate.js';

const machine = createMachine(chart as Parameters<typeof createMachine>[0]);

type Phase = MeshState['store']['phase'];
type Trigger =
  'CHOSEN' | 'LISTED' | 'FAILED' | 'PASSED_OVER' | 'CUT' | 'COMPACTED' | 'RESYNC' | 'RETRY';

function effectsOf(before: Phase, after: Phase, revision: number): readonly MeshEffect[] {
  if (before === after) return [];
  const effects: MeshEffect[] = [];
  if (before === 'watching') effects.push({ type: 'closeWatch' });
  if (after === 'listing') effects.push({ type: 'listStore' });
  if (after === 'watching') effects.push({ type: 'openWatch', fromRevision: revision });
  return effects;
}

/** Advances the state chart of a relay's store connection. */
export function advanceStore(state: MeshState, type: Trigger): MeshChange {
  const { store } = state;
  const snapshot = machine.resolveState({ value: store.phase });
  const [next] = transition(machine, snapshot, { type });
  const phase = next.value as Phase;
  return {
    state: { ...state, store: { ...store, phase } },
    effects: effectsOf(store.phase, phase, store.revision),
  };
}
