import type { Upstream } from '../../core/upstreams/index.js';
import type { UpstreamView } from './upstreamview.js';

/** Creates the view of an upstream of which nothing is known yet. */
export function createView(info: Upstream): UpstreamView {
  return {
    info,
    // Unless the upstream has just started, it may have accepted orders from a previous holder.
    orderCount: undefined,
    done: new Map(),
    unloadingAdapters: new Set(),
    unconfirmed: [],
    ambiguousAtMs: undefined,
    models: new Map(),
    learned: undefined,
    isMoving: false,
    plannedModel: undefined,
    coming: 0,
    arrivingAdapters: 0,
    restUntilMs: 0,
    lastTask: Promise.resolve(),
  };
}
