import type { Ms, UpstreamId } from '../../base/index.js';
import type { Target } from '../document/index.js';
import { rendezvous } from '../hash/index.js';
import { freeAtMs } from './freeatms.js';
import { loadKey } from './loadkey.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingState } from './routingstate.js';
import type { UpstreamView } from './upstreamview.js';

function holdsModel(view: UpstreamView, { model }: Target): boolean {
  return model !== undefined && view.residents.get(model)?.phase === 'ready';
}

/**
 * Returns the upstreams in the order in which they are asked to load a model: first those that hold the model and lack
 * only the adapter, then those with enough free memory, then the rest. Each group is in the model's rendezvous order,
 * so that all entries ask the same upstream.
 */
function order(state: RoutingState, target: Target, nowMs: Ms): UpstreamView[] {
  const live = [...state.upstreams.values()].filter(
    (view) =>
      view.type === 'engine' &&
      view.phase !== 'suspect' &&
      freeAtMs(view, target.kind.name, nowMs) !== Infinity &&
      view.breaker.phase === 'closed' &&
      view.breaker.failures === 0,
  );
  const ranked = rendezvous<UpstreamId>(
    target.model ?? '',
    live.map(({ id }) => id),
  );
  const rank = new Map(ranked.map((id, index) => [id, index]));
  const sizeBytes = state.modelBytes.get(target.model as never) ?? 0;
  const score = (view: UpstreamView) => {
    if (holdsModel(view, target)) return 0;
    return view.recorded && view.freeBytes >= sizeBytes ? 1 : 2;
  };
  return live.sort((a, b) => score(a) - score(b) || (rank.get(a.id) ?? 0) - (rank.get(b.id) ?? 0));
}

/** Asks the next upstream in the model's order for an on-demand load; undefined if all have been asked. */
export function askRescue(
  state: RoutingState,
  target: Target,
  deadlineMs: Ms,
  nowMs: Ms,
): RoutingChange | undefined {
  const key = loadKey(target);
  const before = state.rescues.get(key);
  const { sharing = false, asked = [] } = before ?? {};
  const isOver = asked.length >= routingLimits.rescueAttempts;
  const next = order(state, target, nowMs).find(({ id }) => !asked.includes(id));
  if (isOver || !next) {
    if (sharing || asked.length === 0) return undefined;
    const again = { ...before!, asked: [], sharing: true };
    const rescues = new Map(state.rescues).set(key, again);
    return askRescue({ ...state, rescues }, target, deadlineMs, nowMs);
  }
  const rescue = {
    target,
    phase: 'asked' as const,
    upstream: next.id,
    asked: [...asked, next.id],
    sharing,
    untilMs: nowMs + routingLimits.rescueReplyTimeoutMs,
  };
  const { id: upstream, sidecarAddress } = next;
  return {
    state: { ...state, rescues: new Map(state.rescues).set(key, rescue) },
    effects: [{ type: 'rescue', upstream, sidecarAddress, target, deadlineMs, sharing }],
  };
}
