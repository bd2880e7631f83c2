import type { DecayingRate } from './decayingrate.js';

/** Usage of one customer at this upstream. */
export interface Account {
  /** Its share divided by the shares of all customers; from 0 to 1. */
  fraction: number;
  /** Number of its queued requests. */
  waiting: number;
  /** Recently started work: within its share, beyond its share, and background work. */
  readonly used: Readonly<Record<'within' | 'beyond' | 'background', DecayingRate>>;
}
