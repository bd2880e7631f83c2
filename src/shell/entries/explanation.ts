/** What an entry's `GET /explainz` tells of one model. */
export interface Explanation {
  readonly hostId: string;
  readonly service: string;
  readonly model: string;
  readonly movePenalty: number;
  /** Where the model is, as the sidecars last told. */
  readonly residents: readonly {
    readonly upstream: string;
    readonly availabilityZone: string;
    readonly phase: string;
    readonly adapters: readonly string[];
    /** How this entry sees the upstream. */
    readonly member: string;
  }[];
  /** Absent while another entry plans, or nobody. */
  readonly planner?: {
    readonly epoch: number;
    /** Requests a second that are planned for. */
    readonly forecastPerSecond: number;
    readonly serviceTimeMs: number;
    readonly places: readonly {
      readonly upstream: string;
      readonly reason: string;
      /** Expected gain and cost of the place, in weighted answers in time over a minute. */
      readonly gain: number;
      readonly cost: number;
    }[];
    /** True if the last plan found no room for the model. */
    readonly unplaced: boolean;
  };
}
