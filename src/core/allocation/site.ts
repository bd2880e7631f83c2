import type { ModelId, Ms } from '../../base/index.js';
import type { PlanUpstream } from './planupstream.js';
import type { Victim } from './victim.js';

type Placed = PlanUpstream['placed'][number];

/** An engine that may receive a replica, with its projected state within a plan. */
export interface Site {
  readonly upstream: PlanUpstream;
  readonly placed: readonly Placed[];
  /** How long work takes there, as a factor of the usual time. */
  readonly pace: number;
  /** Projected load of all its models, as a share of its slots. */
  level: number;
  /** Contribution of each model to `level`. */
  readonly portions: Map<ModelId, number>;
  /** True while an order is under way, or once this plan has a move for it. */
  isReserved: boolean;
  readonly freeMb: number;
  /** Its models by ascending loss, cached per load time of the model that replaces them. */
  victims: { version: number; readonly byLoadMs: Map<Ms, readonly Victim[]> };
}
