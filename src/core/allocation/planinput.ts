import type { ModelId } from '../../base/index.js';
import type { ServiceSpec } from '../routetable/index.js';
import type { ModelDemand } from './modeldemand.js';
import type { PlanUpstream } from './planupstream.js';

/** All that a plan is made from. */
export interface PlanInput {
  readonly engine: NonNullable<ServiceSpec['engine']>;
  readonly upstreams: readonly PlanUpstream[];
  readonly demand: ReadonlyMap<ModelId, ModelDemand>;
  /** False while too little of the demand has been seen: what is held says more about it then. */
  readonly isDemandKnown: boolean;
  /** Prompts that an engine reads in the time of a pause that is in time; undefined while nothing is known. */
  readonly promptsPerPause?: number | undefined;
  /** Loads from the weight store that may begin now. */
  readonly coldLoadsLeft: number;
}
