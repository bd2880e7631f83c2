import { stepMesh, type MeshEvent, type MeshState } from '../../src/core/mesh/index.js';

type Step = typeof stepMesh;

const offered = (event: MeshEvent) =>
  event.type === 'pushArrived' || event.type === 'pullAnswered' ? event.batch.records : [];

function withoutOffered(state: MeshState, event: MeshEvent): MeshState {
  const records = new Map(state.records);
  for (const { key } of offered(event)) records.delete(key);
  return { ...state, records };
}

/** Drops the tombstones of upstream records. */
function forgetful(state: MeshState): MeshState {
  const kept = [...state.records].filter(
    ([key, { value }]) => value.length > 0 || !key.startsWith('upstream/'),
  );
  return { ...state, records: new Map(kept) };
}

/** The core with one guard disabled, by the guard's name. Each must make the property test fail. */
export const meshMutations: Readonly<Record<string, Step>> = {
  'only higher versions are adopted': (state, event, nowMs) =>
    stepMesh(withoutOffered(state, event), event, nowMs),
  'a process serves only after it has caught up': (state, event, nowMs) => {
    const first = state.catchUp.phase === 'joining' && event.type === 'hostList';
    if (!first) return stepMesh(state, event, nowMs);
    const changed = stepMesh(state, event, nowMs);
    const catchUp = { ...changed.state.catchUp, phase: 'current' as const };
    const caughtUp = { type: 'caughtUp' as const, phase: 'current' as const };
    return { state: { ...changed.state, catchUp }, effects: [...changed.effects, caughtUp] };
  },
  'only peers that have caught up count': (state, event, nowMs) => {
    if (event.type !== 'pullAnswered') return stepMesh(state, event, nowMs);
    return stepMesh(state, { ...event, batch: { ...event.batch, caughtUp: true } }, nowMs);
  },
  'processes pull periodically': (state, event, nowMs) => {
    const change = stepMesh(state, event, nowMs);
    if (state.catchUp.phase !== 'current') return change;
    const pull = { ...change.state.pull, inFlight: undefined };
    const effects = change.effects.filter(({ type }) => type !== 'pull');
    return { state: { ...change.state, pull }, effects };
  },
  'a store listing reveals deletions': (state, event, nowMs) => {
    if (event.type !== 'storeListed') return stepMesh(state, event, nowMs);
    const held = [...state.records.values()].filter(({ key }) => key.startsWith('document/'));
    const listed = new Set(event.records.map(({ key }) => key));
    const kept = held.filter(({ key }) => !listed.has(key));
    return stepMesh(state, { ...event, records: [...event.records, ...kept] }, nowMs);
  },
  'the store is listed again after a watch has ended': (state, event, nowMs) =>
    event.type === 'watchEnded' ? { state, effects: [] } : stepMesh(state, event, nowMs),
  'versions of dropped records are kept as tombstones': (state, event, nowMs) => {
    const change = stepMesh(state, event, nowMs);
    return { state: forgetful(change.state), effects: change.effects };
  },
};
