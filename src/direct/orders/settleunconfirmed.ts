import type { Ms } from '../../base/index.js';
import { reportLagMs } from './reportlag.js';
import type { UnconfirmedOrder } from './unconfirmedorder.js';
import type { UpstreamView } from './upstreamview.js';

/** A report's count of orders, and when the report was requested and received. */
interface ReportedCount {
  readonly orderCount: number;
  readonly requestedAtMs: Ms;
  readonly nowMs: Ms;
}

/** Adds the effect of a load that was carried out, as the upstream's report, some hundred ms old, may lack it. */
function addLoaded({ models, done }: UpstreamView, order: UnconfirmedOrder, nowMs: Ms): void {
  const { action, model, adapter } = order;
  if (action !== 'load') return;
  if (adapter !== undefined) {
    done.set(`${model}/${adapter}`, { isThere: true, atMs: nowMs });
    models.get(model)?.adapters.add(adapter);
  } else if (!models.has(model)) {
    models.set(model, { phase: 'loading', sinceMs: nowMs, adapters: new Set() });
  }
}

/**
 * Settles unconfirmed orders. One was carried out if the upstream's count of orders has passed the one that they
 * expected. If it cannot be told which, only a report whose content is younger than that discovery is complete.
 * Returns false until there is one: the count does not match the known models then. Orders that may still be carried
 * out are kept if `keepsOpen`; the next accepted order invalidates them.
 */
export function settleUnconfirmed(
  view: UpstreamView,
  { orderCount, requestedAtMs, nowMs }: ReportedCount,
  keepsOpen: boolean,
): boolean {
  const { unconfirmed, ambiguousAtMs } = view;
  const passed = unconfirmed.filter(({ expectedOrderCount }) => orderCount > expectedOrderCount);
  const open = keepsOpen ? unconfirmed.filter((order) => !passed.includes(order)) : [];
  const [first, ...others] = passed;
  const isAmbiguous = others.length > 0;
  // Otherwise an earlier unload of the same adapter would hide it in the report that decides.
  if (isAmbiguous) for (const { model, adapter } of passed) view.done.delete(`${model}/${adapter}`);
  if (isAmbiguous && requestedAtMs < (ambiguousAtMs ?? Infinity) + reportLagMs) {
    Object.assign(view, { ambiguousAtMs: ambiguousAtMs ?? nowMs });
    return false;
  }
  Object.assign(view, { unconfirmed: open, ambiguousAtMs: undefined });
  if (first && !isAmbiguous) addLoaded(view, first, nowMs);
  return true;
}
