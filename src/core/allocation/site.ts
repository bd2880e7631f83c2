import type { ModelId, Ms } from '../../base/index.js';
import type { PlanUpstream } from './planupstream.js';
import type { Victim } from './victim.js';

type Placed = PlanUpstream['placed'][number];

/** An engine as a plan changes it. */
export interface Site {
  readonly upstream: PlanUpstream;
  readonly placed: readonly Placed[];
  /** Part of its slots that is expected to be taken, by all that it holds. */
  level: number;
  /** What each model adds to that. */
  readonly portions: Map<ModelId, number>;
  /** True while an order is under way, or once this plan has found a move for it. */
  isTaken: boolean;
  readonly freeMb: number;
  /** What it holds, those first whose loss is least, by the time of the load that takes their place. */
  victims: { version: number; readonly byLoadMs: Map<Ms, readonly Victim[]> };
}
