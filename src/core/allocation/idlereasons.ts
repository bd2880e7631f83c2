import type { ModelId, UpstreamId } from '../../base/index.js';
import { findRoom } from './findroom.js';
import { LoadProjection } from './loadprojection.js';
import { loadTime } from './loadtime.js';
import type { PlanInput } from './planinput.js';

/** What keeps an engine from loading one of some models; the first that applies. */
type IdleReason = 'resting' | 'holds-one' | 'no-room' | 'load-budget' | 'no-gain';

/** Returns for each of the given engines why a plan does not load any of the given models there. */
export function idleReasons(
  input: PlanInput,
  upstreams: ReadonlySet<UpstreamId>,
  models: readonly ModelId[],
): ReadonlyMap<UpstreamId, IdleReason> {
  const projection = new LoadProjection(input);
  const reasons = new Map<UpstreamId, IdleReason>();
  for (const site of projection.sites) {
    if (!upstreams.has(site.upstream.id)) continue;
    const specs = models.flatMap((model) => input.engine.models.get(model) ?? []);
    const loads = specs.map((spec) => ({ spec, load: loadTime(site, spec) }));
    const fitting = loads.filter(({ spec, load }) =>
      findRoom(projection, site, spec.sizeMb, load.ms),
    );
    const isWithinBudget = ({ load }: (typeof loads)[number]) =>
      !load.isFromStore || input.coldLoadsLeft > 0;
    let reason: IdleReason = 'no-gain';
    if (site.isReserved) reason = 'resting';
    else if (site.placed.some(({ model }) => models.includes(model))) reason = 'holds-one';
    else if (fitting.length === 0) reason = 'no-room';
    else if (!fitting.some(isWithinBudget)) reason = 'load-budget';
    reasons.set(site.upstream.id, reason);
  }
  return reasons;
}
