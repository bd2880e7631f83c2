/** Rate limit of one customer over all entries together: a token bucket. */
export interface Quota {
  /** Unit that the bucket counts. */
  readonly unit: 'tokens' | 'requests';
  readonly ratePerS: number;
  /** Capacity of the bucket. */
  readonly burst: number;
  /** Tokens charged for a request that does not state a number. */
  readonly plainTokens: number;
}
