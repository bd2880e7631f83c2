import type { MakePlacement } from './placementpolicy.js';
import type { MakeQueue } from './queuepolicy.js';
import type { MakeRoute } from './routepolicy.js';

/** The queue, route and placement policies of one run. */
export interface PolicySet {
  readonly name: string;
  readonly queue: MakeQueue;
  readonly route: MakeRoute;
  readonly placement: MakePlacement;
  /** Multiplies the declared slots; 1 by default. */
  readonly slotsFactor?: number;
}
