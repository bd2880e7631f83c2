/** The weight store's limits. */
export interface WeightOptions {
  /** Loads that may begin in a second. */
  readonly loadsPerSecond: number;
  /** Loads that run at full speed side by side; more share the same total. */
  readonly parallelLoads: number;
  /** Speed of one load that is not crowded. */
  readonly bytesPerMs: number;
}
