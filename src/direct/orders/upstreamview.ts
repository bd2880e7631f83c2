import type { ModelId, Ms } from '../../base/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { UnconfirmedOrder } from './unconfirmedorder.js';

/** A model at an upstream in the order lease holder's view. */
interface ModelView {
  phase: 'ready' | 'loading' | 'unloading';
  sinceMs: Ms;
  adapters: Set<string>;
}

/** The order lease holder's view of one upstream: its entry in the list and the effects of own orders since. */
export interface UpstreamView {
  info: Upstream;
  /** Orders that the upstream has accepted; it rejects an order that expects another count. Undefined if unknown. */
  orderCount: number | undefined;
  /** Effects of own orders on adapters, `model/adapter`, that the list may not show yet. */
  readonly done: Map<string, { readonly isThere: boolean; readonly atMs: Ms }>;
  /** Adapters, `model/adapter`, that are unloaded once their last run has ended. */
  readonly unloadingAdapters: Set<string>;
  /**
   * Orders without an answer. The upstream accepts at most one of those that expected the same count. Where the service
   * is not load-aware, at most the last load.
   */
  unconfirmed: readonly UnconfirmedOrder[];
  /** When a report showed that one of several unconfirmed orders was carried out; undefined if none has. */
  ambiguousAtMs: Ms | undefined;
  models: Map<ModelId, ModelView>;
  /** Where `models` were last adopted from, and when; for the log. */
  learned: { readonly from: 'list' | 'report'; readonly atMs: Ms } | undefined;
  /** True while a move is in progress. */
  isMoving: boolean;
  /** The model of that move, until its load is ordered. */
  plannedModel: ModelId | undefined;
  /** Adapter loads that are queued for this upstream. */
  coming: number;
  /** Adapters whose order was accepted and that are still loading. */
  arrivingAdapters: number;
  /** No order is sent before this, as the upstream's state is uncertain or it accepts none. */
  restUntilMs: Ms;
  /** Settles when the last queued task is done, see `enqueue`. */
  lastTask: Promise<unknown>;
}
