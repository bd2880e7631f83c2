import type { ModelId, UpstreamId } from '../../base/index.js';
import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Demand } from './demand.js';

/** All that one plan of a cell is made from. */
export interface PlanInput {
  readonly models: readonly CellModel[];
  readonly upstreams: readonly CellUpstream[];
  readonly demand: ReadonlyMap<ModelId, Demand>;
  /** Loads that earlier plans have ordered and that no record shows yet. */
  readonly ordered: readonly { readonly upstream: UpstreamId; readonly model: ModelId }[];
  /** Places of the last plan whose loads had to wait: taken again if they still fit. */
  readonly intended: readonly { readonly upstream: UpstreamId; readonly model: ModelId }[];
  /** Places that are too young to be given up for demand elsewhere. */
  readonly young: readonly { readonly upstream: UpstreamId; readonly model: ModelId }[];
  /** What one move costs, in weighted answers in time. */
  readonly movePenalty: number;
  /** Loads that may be ordered now. */
  readonly loadLimit: number;
  /** `last`: second places take what demand leaves; `first`: they come before it. */
  readonly spares: 'last' | 'first' | 'none';
}
