import type { ModelId, Ms, UpstreamId } from '../../base/index.js';
import type { CellPlan } from '../placement/index.js';
import type { DemandState } from './demandstate.js';

/** One place with the time at which it was ordered, or became ready. */
interface TimedPlace {
  readonly upstream: UpstreamId;
  readonly model: ModelId;
  readonly atMs: Ms;
}

/** What a planner of one cell remembers between rounds. It can be lost: only moves are. */
export interface PlannerState {
  readonly demand: DemandState;
  /** Loads ordered and not yet seen ready. */
  readonly ordered: readonly TimedPlace[];
  /** Places that have become ready of late. */
  readonly young: readonly TimedPlace[];
  /** What was last sent to each upstream, and when. */
  readonly sent: ReadonlyMap<UpstreamId, { readonly text: string; readonly atMs: Ms }>;
  readonly sequence: number;
  readonly roundAtMs: Ms;
  /** When the first round was; until demand is known no second places are loaded. */
  readonly startedAtMs?: Ms;
  /** The last plan, for `explain`. */
  readonly plan?: CellPlan;
}
