import type { ModelId, Ms } from '../../base/index.js';
import { routingLimits } from './routinglimits.js';
import type { UpstreamView } from './upstreamview.js';

/** Returns the fraction of its slots that an upstream offers for the model: it grows after the model was loaded. */
function slowStartFraction(view: UpstreamView, model: ModelId | undefined, nowMs: Ms): number {
  const resident = model === undefined ? undefined : view.residents.get(model);
  if (!resident) return 1;
  const fraction = (nowMs - resident.sinceMs) / routingLimits.slowStartMs;
  return Math.min(1, Math.max(routingLimits.slowStartShare, fraction));
}

/**
 * Returns the expected load of an upstream as a fraction of its slots: this entry's own requests, and those of other
 * entries as last reported. A report's weight decays with age, so that without reports only own requests count.
 */
export function relativeLoad(view: UpstreamView, model: ModelId | undefined, nowMs: Ms): number {
  const ageMs = view.load ? Math.max(0, nowMs - view.load.reportedAtMs) : 0;
  const weight = Math.exp(-ageMs / routingLimits.loadDecayMs);
  const expected = view.inFlight + (view.load?.othersCount ?? 0) * weight;
  return expected / (Math.max(1, view.slots) * slowStartFraction(view, model, nowMs));
}
