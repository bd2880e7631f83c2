import type { ModelId, Ms } from '../../base/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import { listLagMs } from './listlag.js';
import type { Track } from './track.js';

/** A model that has not come by then does not come: a load takes 4.2 s, one carried out late 12 s more. */
const LONGEST_LOAD_MS = 17_000;

function adaptersOf(
  track: Track,
  model: ModelId,
  told: ReadonlySet<string>,
  nowMs: Ms,
): Set<string> {
  const adapters = new Set(told);
  const prefix = `${model}/`;
  for (const [key, { isThere, atMs }] of track.done) {
    if (nowMs - atMs > listLagMs) track.done.delete(key);
    else if (!key.startsWith(prefix)) continue;
    else if (isThere) adapters.add(key.slice(prefix.length));
    else adapters.delete(key.slice(prefix.length));
  }
  return adapters;
}

/** Takes over what an upstream says that it holds; loads that are under way stay so until it has them. */
export function adoptList(track: Track, models: Upstream['models'], nowMs: Ms): void {
  const before = track.models;
  const next: Track['models'] = new Map();
  for (const [model, { adapters }] of models) {
    const known = before.get(model);
    const phase = known?.phase === 'unloading' ? 'unloading' : 'ready';
    const sinceMs = known && known.phase !== 'loading' ? known.sinceMs : nowMs;
    next.set(model, { phase, sinceMs, adapters: adaptersOf(track, model, adapters, nowMs) });
  }
  for (const [model, known] of before) {
    if (next.has(model)) continue;
    // A word may be older than the load that the one before told of.
    const isNew = known.phase === 'ready' && nowMs - known.sinceMs < listLagMs;
    const isComing = known.phase === 'loading' && nowMs - known.sinceMs < LONGEST_LOAD_MS;
    if (isComing || isNew) next.set(model, known);
  }
  Object.assign(track, { models: next });
}
