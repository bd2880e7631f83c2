import type { AdapterId, Incarnation, ModelId, Ms, UpstreamId } from '../../base/index.js';
import type { Resident, UpstreamRecord } from '../../wire/index.js';
import { adoptLoad } from './adoptload.js';
import { loadKey } from './loadkey.js';
import { releaseWaiters } from './releasewaiters.js';
import { withIncarnation } from './withincarnation.js';
import type { Rescue } from './rescue.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingState } from './routingstate.js';
import { serves } from './serves.js';
import type { UpstreamView } from './upstreamview.js';
import { withView } from './withview.js';

type Phase = 'loading' | 'ready' | 'unloading';

/** Weight of a new sample in the average load time. */
const SAMPLE_WEIGHT = 0.3;

function residentsOf(
  view: UpstreamView,
  residents: readonly Resident[],
  nowMs: Ms,
): UpstreamView['residents'] {
  const seen = new Map<ModelId, { phase: Phase; adapters: ReadonlySet<AdapterId>; sinceMs: Ms }>();
  for (const { model, phase, adapters } of residents) {
    const before = view.residents.get(model as ModelId);
    seen.set(model as ModelId, {
      phase: phase as Phase,
      adapters: new Set(adapters as AdapterId[]),
      sinceMs: before?.phase === phase ? before.sinceMs : nowMs,
    });
  }
  return seen;
}

function adopt(view: UpstreamView, record: UpstreamRecord, nowMs: Ms): UpstreamView {
  const incarnation = record.incarnation as Incarnation;
  const current = incarnation > view.incarnation ? withIncarnation(view, incarnation) : view;
  const adopted = {
    ...current,
    residents: residentsOf(current, record.residents, nowMs),
    recorded: true,
    freeBytes: record.freeBytes,
    missing: new Set<string>(),
  };
  return adoptLoad(adopted, record.load, nowMs);
}

function learnLoadTime(
  state: RoutingState,
  before: UpstreamView,
  after: UpstreamView,
  nowMs: Ms,
): RoutingState {
  let { loadMsPerByte } = state;
  for (const [model, { phase }] of after.residents) {
    const earlier = before.residents.get(model);
    const sizeBytes = state.modelBytes.get(model) ?? 0;
    if (phase !== 'ready' || earlier?.phase !== 'loading' || sizeBytes === 0) continue;
    const seen = (nowMs - earlier.sinceMs) / sizeBytes;
    loadMsPerByte += SAMPLE_WEIGHT * (seen - loadMsPerByte);
  }
  return { ...state, loadMsPerByte };
}

/** Drops the on-demand loads whose target an upstream now serves. */
function dropServedRescues(state: RoutingState): RoutingState {
  const views = [...state.upstreams.values()];
  const open = new Map<string, Rescue>();
  for (const rescue of state.rescues.values()) {
    if (views.some((view) => serves(view, rescue.target))) continue;
    open.set(loadKey(rescue.target), rescue);
  }
  return open.size === state.rescues.size ? state : { ...state, rescues: open };
}

/** Applies a sidecar's record and sends the requests that waited for what the upstream now holds. */
export function onRecorded(state: RoutingState, record: UpstreamRecord, nowMs: Ms): RoutingChange {
  const id = record.upstream as UpstreamId;
  const before = state.upstreams.get(id);
  if (!before || record.incarnation < before.incarnation) return { state, effects: [] };
  const after = adopt(before, record, nowMs);
  const learnt = learnLoadTime(
    withView(state, id, () => after),
    before,
    after,
    nowMs,
  );
  return releaseWaiters(dropServedRescues(learnt), nowMs);
}
