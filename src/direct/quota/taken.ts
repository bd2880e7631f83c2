import type { Ms } from '../../base/index.js';

/** Whether a run is within its customer's quota. */
export type Taken =
  | { readonly type: 'paid' }
  | {
      readonly type: 'refused';
      /** `over`: the limit is reached. `unknown`: nobody who knows can be asked, and the own part is used up. */
      readonly reason: 'over' | 'unknown';
      readonly retryAfterMs: Ms;
      /** For the log: what lay here, and how long ago the holder last answered. */
      readonly left: number;
      readonly ageMs: Ms;
    };
