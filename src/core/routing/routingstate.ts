import type { ModelId, Ms, RequestId, UpstreamId } from '../../base/index.js';
import type { Rescue } from './rescue.js';
import type { UpstreamView } from './upstreamview.js';
import type { Waiter } from './waiter.js';

/** What an entry knows of one service's upstreams. One instance a service. */
export interface RoutingState {
  /** Availability zone of this entry. */
  readonly availabilityZone: string;
  readonly seed: number;
  readonly upstreams: ReadonlyMap<UpstreamId, UpstreamView>;
  /** Sizes of the models in the document, in bytes. */
  readonly modelBytes: ReadonlyMap<ModelId, number>;
  /** Requests sent and not yet ended. */
  readonly inFlight: ReadonlyMap<RequestId, { readonly upstream: UpstreamId; readonly atMs: Ms }>;
  /** Upstreams that a refusal of this request has named as better placed. */
  readonly hints: ReadonlyMap<
    RequestId,
    { readonly upstreams: readonly UpstreamId[]; readonly atMs: Ms }
  >;
  /** By model and adapter: see `loadKey`. */
  readonly waiting: ReadonlyMap<string, readonly Waiter[]>;
  readonly rescues: ReadonlyMap<string, Rescue>;
  /** Retries that may still be made; answers earn more. */
  readonly retryTokens: number;
  /** Load time per byte, learnt from loads that were seen to begin and end. */
  readonly loadMsPerByte: number;
  /** By upstream and prefix: when the prefix was last known to be cached there. */
  readonly warmth: ReadonlyMap<string, { readonly score: number; readonly atMs: Ms }>;
}
