import type { ModelId, Ms } from '../../base/index.js';
import { routingLimits } from './routinglimits.js';
import type { UpstreamView } from './upstreamview.js';

/** Part of its slots that the upstream offers for the model: less just after a load. */
function ramp(view: UpstreamView, model: ModelId | undefined, nowMs: Ms): number {
  const resident = model === undefined ? undefined : view.residents.get(model);
  if (!resident) return 1;
  const part = (nowMs - resident.sinceMs) / routingLimits.slowStartMs;
  return Math.min(1, Math.max(routingLimits.slowStartShare, part));
}

/**
 * Expected load of an upstream in parts of its slots: this entry's own requests there, and the others'
 * as last reported. A report loses its worth with age, so that without reports own requests count alone.
 */
export function relativeLoad(view: UpstreamView, model: ModelId | undefined, nowMs: Ms): number {
  const ageMs = view.load ? Math.max(0, nowMs - view.load.reportedAtMs) : 0;
  const worth = Math.exp(-ageMs / routingLimits.loadDecayMs);
  const expected = view.inFlight + (view.load?.othersCount ?? 0) * worth;
  return expected / (Math.max(1, view.slots) * ramp(view, model, nowMs));
}
