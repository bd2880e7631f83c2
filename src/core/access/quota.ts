/** What one customer may have run, over all entries together: a token bucket. */
export interface Quota {
  /** What the bucket counts. */
  readonly unit: 'tokens' | 'requests';
  readonly ratePerS: number;
  /** What the bucket holds when it is full. */
  readonly burst: number;
  /** Tokens that a request counts which names none. */
  readonly plainTokens: number;
}
