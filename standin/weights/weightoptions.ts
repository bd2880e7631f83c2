/** Limits of the weight store. */
export interface WeightOptions {
  /** Loads that may start per second. */
  readonly loadsPerSecond: number;
  /** Loads that run at full speed in parallel; more loads share the same total speed. */
  readonly parallelLoads: number;
  /** Speed of a load while no more than `parallelLoads` run. */
  readonly bytesPerMs: number;
}
