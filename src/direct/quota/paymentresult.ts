import type { Ms } from '../../base/index.js';

/** Result of paying for a run from its customer's quota. */
export type PaymentResult =
  | { readonly type: 'paid' }
  | {
      readonly type: 'refused';
      /** `over`: the quota is used up. `unknown`: the holder cannot be reached, and the entry's own part is used up. */
      readonly reason: 'over' | 'unknown';
      readonly retryAfterMs: Ms;
      /** For the log: level of the local bucket, and time since the request that the holder last answered. */
      readonly left: number;
      readonly ageMs: Ms;
    };
