import type { ModelId, UpstreamId } from '../../base/index.js';
import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Demand } from './demand.js';

/** Input for planning one cell. */
export interface PlanInput {
  readonly models: readonly CellModel[];
  readonly upstreams: readonly CellUpstream[];
  readonly demand: ReadonlyMap<ModelId, Demand>;
  /** Loads ordered by earlier plans that are not ready yet. */
  readonly ordered: readonly { readonly upstream: UpstreamId; readonly model: ModelId }[];
  /** Replicas whose loads the last plan deferred: planned again if they still fit. */
  readonly intended: readonly { readonly upstream: UpstreamId; readonly model: ModelId }[];
  /** Replicas that became ready too recently to be evicted for the demand of other models. */
  readonly recent: readonly { readonly upstream: UpstreamId; readonly model: ModelId }[];
  /** Cost of one move, in weighted answers on time. */
  readonly movePenalty: number;
  /** Maximum number of loads to order now. */
  readonly loadLimit: number;
  /** Whether second replicas in other zones are planned before or after those for demand, or not at all. */
  readonly spares: 'last' | 'first' | 'none';
}
