import type { RequestId, UpstreamId } from '../../base/index.js';
import type { Holder } from './holder.js';
import type { Session } from './session.js';

function canTake({ models }: Holder, { model, adapter }: Session): boolean {
  const held = models.find((entry) => entry.model === model);
  return held !== undefined && (adapter === undefined || held.adapters.includes(adapter));
}

/** Assigns each session to the least loaded holder of its model and adapter. Assigned sessions count as load. */
export function assign(
  sessions: readonly Session[],
  holders: readonly Holder[],
): ReadonlyMap<RequestId, UpstreamId> {
  const places = new Map<RequestId, UpstreamId>();
  const added = new Map<UpstreamId, number>();
  const loadOf = ({ upstream, requestCount, slots }: Holder) =>
    (requestCount + (added.get(upstream) ?? 0)) / Math.max(1, slots);
  for (const session of sessions) {
    let best: Holder | undefined;
    for (const holder of holders) {
      if (!canTake(holder, session)) continue;
      if (!best || loadOf(holder) < loadOf(best)) best = holder;
    }
    if (!best) continue;
    places.set(session.requestId, best.upstream);
    added.set(best.upstream, (added.get(best.upstream) ?? 0) + 1);
  }
  return places;
}
