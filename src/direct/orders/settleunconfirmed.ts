import type { Ms } from '../../base/index.js';
import type { UpstreamView } from './upstreamview.js';

/**
 * Settles an unconfirmed load. It was carried out if the upstream's count of orders has passed the one that it
 * expected; it then counts as loaded, also if the upstream's report, some hundred ms old, lacks it. Otherwise the
 * next accepted order invalidates it.
 */
export function settleUnconfirmed(view: UpstreamView, orderCount: number, nowMs: Ms): void {
  const { unconfirmed, models, done } = view;
  if (!unconfirmed) return;
  Object.assign(view, { unconfirmed: undefined });
  if (orderCount <= unconfirmed.expectedOrderCount) return;
  const { model, adapter } = unconfirmed;
  if (adapter !== undefined) {
    done.set(`${model}/${adapter}`, { isThere: true, atMs: nowMs });
    models.get(model)?.adapters.add(adapter);
  } else if (!models.has(model)) {
    models.set(model, { phase: 'loading', sinceMs: nowMs, adapters: new Set() });
  }
}
