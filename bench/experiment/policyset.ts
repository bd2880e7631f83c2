import type { MakePlacement } from './placementpolicy.js';
import type { MakeQueue } from './queuepolicy.js';
import type { MakeRoute } from './routepolicy.js';

/** Policies that meet a workload together. */
export interface PolicySet {
  readonly name: string;
  readonly queue: MakeQueue;
  readonly route: MakeRoute;
  readonly placement: MakePlacement;
  /** Declared slots are multiplied by this; 1 if left out. */
  readonly slotsFactor?: number;
}
