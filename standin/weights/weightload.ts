/** A load that is running or queued at the weight store. */
export interface WeightLoad {
  readonly id: number;
  readonly startsAtMs: number;
  readonly remainingBytes: number;
}
