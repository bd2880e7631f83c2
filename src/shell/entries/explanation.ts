/** Answer of an entry's `GET /explainz` for one model. */
export interface Explanation {
  readonly hostId: string;
  readonly service: string;
  readonly model: string;
  readonly movePenalty: number;
  /** Upstreams that hold the model, by the last reports of their sidecars. */
  readonly residents: readonly {
    readonly upstream: string;
    readonly availabilityZone: string;
    readonly phase: string;
    readonly adapters: readonly string[];
    /** The upstream's state as seen by this entry. */
    readonly member: string;
  }[];
  /** Absent unless this entry is the planner. */
  readonly planner?: {
    readonly epoch: number;
    /** Forecast rate that the plan is made for, in requests per second. */
    readonly forecastPerSecond: number;
    readonly serviceTimeMs: number;
    readonly places: readonly {
      readonly upstream: string;
      readonly reason: string;
      /** Expected gain and cost of the replica, in weighted on-time answers per minute. */
      readonly gain: number;
      readonly cost: number;
    }[];
    /** True if the last plan found no memory for the model. */
    readonly unplaced: boolean;
  };
}
