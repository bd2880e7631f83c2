import type { ModelId, UpstreamId } from '../../base/index.js';

/** The forecast demand per upstream of a draft, and per model and upstream, in busy slots. */
export interface DemandSpread {
  readonly loadOf: ReadonlyMap<UpstreamId, number>;
  readonly shareOf: ReadonlyMap<ModelId, ReadonlyMap<UpstreamId, number>>;
}
