import type { ModelId, Ms } from '../../base/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import { listLagMs } from './listlag.js';
import type { UpstreamView } from './upstreamview.js';

/** A load that is not done after this time has failed: a load takes 4.2 s, and 12 s more if it is carried out late. */
const MAX_LOAD_MS = 17_000;

function adaptersOf(
  view: UpstreamView,
  model: ModelId,
  reported: ReadonlySet<string>,
  nowMs: Ms,
): Set<string> {
  const adapters = new Set(reported);
  const prefix = `${model}/`;
  for (const [key, { isThere, atMs }] of view.done) {
    if (nowMs - atMs > listLagMs) view.done.delete(key);
    else if (!key.startsWith(prefix)) continue;
    else if (isThere) adapters.add(key.slice(prefix.length));
    else adapters.delete(key.slice(prefix.length));
  }
  return adapters;
}

/** True if a model or adapter of the view before is missing from the view after, other than by an own unload. */
function hasLost(before: UpstreamView['models'], after: UpstreamView['models']): boolean {
  for (const [model, { phase, adapters }] of before) {
    const kept = after.get(model);
    if (!kept && phase === 'unloading') continue;
    if (!kept) return true;
    for (const adapter of adapters) if (!kept.adapters.has(adapter)) return true;
  }
  return false;
}

/**
 * Adopts the models that an upstream reports; loads in progress stay recorded as loading until the report contains
 * them. A list record may be older than the count of orders, so what it lacks counts as gone only once the upstream's
 * own report says so together with its count.
 */
export function adoptModels(
  view: UpstreamView,
  models: Upstream['models'],
  from: 'list' | 'report',
  nowMs: Ms,
): void {
  const before = view.models;
  const next: UpstreamView['models'] = new Map();
  for (const [model, { adapters }] of models) {
    const known = before.get(model);
    const phase = known?.phase === 'unloading' ? 'unloading' : 'ready';
    const sinceMs = known && known.phase !== 'loading' ? known.sinceMs : nowMs;
    next.set(model, { phase, sinceMs, adapters: adaptersOf(view, model, adapters, nowMs) });
  }
  for (const [model, known] of before) {
    if (next.has(model)) continue;
    // The report may be older than a load that an earlier one already contained.
    const isRecent = known.phase === 'ready' && nowMs - known.sinceMs < listLagMs;
    const isLoading = known.phase === 'loading' && nowMs - known.sinceMs < MAX_LOAD_MS;
    if (isLoading || isRecent) next.set(model, known);
  }
  const isCountVoid = from === 'list' && hasLost(before, next);
  const orderCount = isCountVoid ? undefined : view.orderCount;
  Object.assign(view, { models: next, orderCount, learned: { from, atMs: nowMs } });
}
