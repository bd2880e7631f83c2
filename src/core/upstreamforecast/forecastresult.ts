import type { Ms } from '../../base/index.js';

/** What one more request meets at an upstream. */
export interface Forecast {
  /** Time to its first event if it is sent now. */
  firstMs: Ms;
  /** Slots that are free; 0 if less than `minFree`. */
  freePlaces: number;
  /** Time until a slot is free for it; 0 if one is free. */
  nextFreeMs: Ms;
}
