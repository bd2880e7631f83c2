import type { Ms } from '../../base/index.js';
import type { UpstreamLoad } from '../../wire/index.js';
import type { UpstreamView } from './upstreamview.js';

/** Applies a load report of an upstream unless a newer one is known. */
export function adoptLoad(
  view: UpstreamView,
  load: UpstreamLoad | undefined,
  nowMs: Ms,
): UpstreamView {
  if (!load) return view;
  const reportedAtMs = nowMs - load.ageMs;
  if (view.load && view.load.reportedAtMs > reportedAtMs) return view;
  const othersCount = Math.max(0, load.running + load.queued - view.inFlight);
  const slots = load.slots > 0 ? load.slots : view.slots;
  return { ...view, slots, load: { othersCount, reportedAtMs } };
}
