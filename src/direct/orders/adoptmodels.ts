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

/**
 * Adopts the models that an upstream reports; loads in progress stay recorded as loading until the report contains
 * them.
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
  Object.assign(view, { models: next, learned: { from, atMs: nowMs } });
}
