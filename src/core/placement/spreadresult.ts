import type { ModelId, UpstreamId } from '../../base/index.js';

/** How forecast demand falls on the upstreams of a draft, in busy slots. */
export interface Spread {
  readonly loadOf: ReadonlyMap<UpstreamId, number>;
  readonly shareOf: ReadonlyMap<ModelId, ReadonlyMap<UpstreamId, number>>;
}
