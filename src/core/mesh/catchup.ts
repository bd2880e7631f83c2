import { createMachine, transition } from 'xstate';
import type { Ms } from '../../base/index.js';
import chart from './catchup.chart.json' with { type: 'json' };
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';

const machine = createMachine(chart as Parameters<typeof createMachine>[0]);

type Phase = MeshState['catchUp']['phase'];
type Trigger = 'HOSTS_KNOWN' | 'CAUGHT_UP' | 'WAIT_OVER';

function hasCaughtUp(state: MeshState): boolean {
  const { catchUp: progress, self, options } = state;
  const readsStore = self.role === 'entry' && self.hasStore;
  if (!self.hasHostList && !readsStore) return true;
  const peerCount = state.entries.filter(({ id }) => id !== self.id).length;
  if (progress.storeListed) return progress.anyAnswer || peerCount === 0;
  if (peerCount === 0) return false;
  return progress.readyPeers.length >= Math.min(options.catchUpPeers, peerCount);
}

function triggersOf(state: MeshState, nowMs: Ms): readonly Trigger[] {
  const triggers: Trigger[] = [];
  if (state.hostsKnown) triggers.push('HOSTS_KNOWN');
  if (state.hostsKnown && hasCaughtUp(state)) triggers.push('CAUGHT_UP');
  if (nowMs - state.startedAtMs >= state.options.catchUpWaitMs) triggers.push('WAIT_OVER');
  return triggers;
}

/** Advances the catch-up state chart as far as the current state allows. */
export function catchUp(state: MeshState, nowMs: Ms): MeshChange {
  const before = state.catchUp.phase;
  if (before === 'current') return { state, effects: [] };
  let snapshot = machine.resolveState({ value: before });
  for (const type of triggersOf(state, nowMs)) [snapshot] = transition(machine, snapshot, { type });
  const phase = snapshot.value as Phase;
  if (phase === before) return { state, effects: [] };
  const next = { ...state, catchUp: { ...state.catchUp, phase } };
  if (phase !== 'current' && phase !== 'uncertain') return { state: next, effects: [] };
  return { state: next, effects: [{ type: 'caughtUp', phase }] };
}
