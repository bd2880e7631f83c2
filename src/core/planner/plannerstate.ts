import type { ModelId, Ms, UpstreamId } from '../../base/index.js';
import type { CellPlan } from '../placement/index.js';
import type { DemandState } from './demandstate.js';

/** A replica and a point in time: when its load was ordered or last seen in progress, or when it became ready. */
interface TimedReplica {
  readonly upstream: UpstreamId;
  readonly model: ModelId;
  readonly atMs: Ms;
}

/** State of one cell's planner between rounds. It is not persisted: losing it costs only some extra moves. */
export interface PlannerState {
  readonly demand: DemandState;
  /** Ordered loads that are not ready yet. */
  readonly ordered: readonly TimedReplica[];
  /** Replicas that became ready recently. */
  readonly recent: readonly TimedReplica[];
  /** The last plan sent to each upstream, and when. */
  readonly sent: ReadonlyMap<UpstreamId, { readonly text: string; readonly atMs: Ms }>;
  readonly sequence: number;
  readonly roundAtMs: Ms;
  /** Time of the first round: no second replicas are loaded until demand has been observed for a while. */
  readonly startedAtMs?: Ms;
  /** The last plan, for `explain`. */
  readonly plan?: CellPlan;
}
