/** One load that the weight store serves, or has in its queue. */
export interface WeightLoad {
  readonly id: number;
  readonly startsAtMs: number;
  readonly remainingBytes: number;
}
