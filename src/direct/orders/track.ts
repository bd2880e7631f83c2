import type { ModelId, Ms } from '../../base/index.js';
import type { Upstream } from '../../core/upstreams/index.js';

/** A model at an upstream as the holder of orders believes it. */
interface TrackedModel {
  phase: 'ready' | 'loading' | 'unloading';
  sinceMs: Ms;
  adapters: Set<string>;
}

/** A load that may have been taken, or may be carried out later. */
interface LoadInDoubt {
  readonly model: ModelId;
  readonly adapter?: string;
  readonly expectedOrderCount: number;
}

/** What the holder of orders believes of one upstream: the list's word and its own orders since. */
export interface Track {
  info: Upstream;
  /** Orders that the upstream has accepted: the next one is void if there were others. */
  orderCount: number | undefined;
  /** What own orders did to adapters, `model/adapter`, since the list can have told of it. */
  readonly done: Map<string, { readonly isThere: boolean; readonly atMs: Ms }>;
  /** Adapters, `model/adapter`, that go when their last run has ended. */
  readonly going: Set<string>;
  /** A load without an answer, and the count of orders that it asked for. */
  doubt: LoadInDoubt | undefined;
  models: Map<ModelId, TrackedModel>;
  /** True while a move is under way. */
  isMoving: boolean;
  /** Adapters that are to be brought there. */
  coming: number;
  /** Adapters whose order was taken a moment ago. */
  arriving: number;
  /** No order before then: the last one had no answer that could be understood. */
  restUntilMs: Ms;
  /** Settles when all that was begun there is done: see `inTurn`. */
  turn: Promise<unknown>;
}
