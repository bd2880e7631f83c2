import type { ModelId, Ms, RequestId, UpstreamId } from '../../base/index.js';
import type { Rescue } from './rescue.js';
import type { UpstreamView } from './upstreamview.js';
import type { Waiter } from './waiter.js';

/** What an entry knows of the upstreams of one service; one instance for each service. */
export interface RoutingState {
  /** Availability zone of this entry. */
  readonly availabilityZone: string;
  readonly seed: number;
  readonly upstreams: ReadonlyMap<UpstreamId, UpstreamView>;
  /** Sizes of the models in the document, in bytes. */
  readonly modelBytes: ReadonlyMap<ModelId, number>;
  /** Requests sent and not yet ended. */
  readonly inFlight: ReadonlyMap<RequestId, { readonly upstream: UpstreamId; readonly atMs: Ms }>;
  /** Upstreams that a refusal of the request suggested instead. */
  readonly hints: ReadonlyMap<
    RequestId,
    { readonly upstreams: readonly UpstreamId[]; readonly atMs: Ms }
  >;
  /** Requests waiting for a load, by model and adapter: see `loadKey`. */
  readonly waiting: ReadonlyMap<string, readonly Waiter[]>;
  /** On-demand loads, by the same key. */
  readonly rescues: ReadonlyMap<string, Rescue>;
  /** Retries that may still be made; answers add to it. */
  readonly retryTokens: number;
  /** Load time per byte, measured on loads observed from start to end. */
  readonly loadMsPerByte: number;
  /** By upstream and prefix: the confidence that the prefix is cached there, and when it was last known to be. */
  readonly prefixScores: ReadonlyMap<string, { readonly score: number; readonly atMs: Ms }>;
}
