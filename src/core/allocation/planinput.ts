import type { ModelId } from '../../base/index.js';
import type { ServiceSpec } from '../routetable/index.js';
import type { ModelDemand } from './modeldemand.js';
import type { PlanUpstream } from './planupstream.js';

/** Input of an allocation plan. */
export interface PlanInput {
  readonly engine: NonNullable<ServiceSpec['engine']>;
  readonly upstreams: readonly PlanUpstream[];
  readonly demand: ReadonlyMap<ModelId, ModelDemand>;
  /** False while too little demand has been observed: the loaded models are the better evidence then. */
  readonly isDemandKnown: boolean;
  /** Prompts that an engine can prefill within one target token gap; undefined if not yet measured. */
  readonly promptsPerGap?: number | undefined;
  /** Loads from the weight store that may start now. */
  readonly coldLoadsLeft: number;
}
