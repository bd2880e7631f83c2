import type { Ms } from '../../base/index.js';
import type { Track } from './track.js';

/**
 * A load without an answer was carried out if the count of orders has passed the one that it asked for.
 * It takes its place from then on, also where the upstream's own word, some hundred ms old, lacks it. If
 * the count has not passed, the next order that is taken makes it void.
 */
export function settleDoubt(track: Track, orderCount: number, nowMs: Ms): void {
  const { doubt, models, done } = track;
  if (!doubt) return;
  Object.assign(track, { doubt: undefined });
  if (orderCount <= doubt.expectedOrderCount) return;
  const { model, adapter } = doubt;
  if (adapter !== undefined) {
    done.set(`${model}/${adapter}`, { isThere: true, atMs: nowMs });
    models.get(model)?.adapters.add(adapter);
  } else if (!models.has(model)) {
    models.set(model, { phase: 'loading', sinceMs: nowMs, adapters: new Set() });
  }
}
