import type { Ms } from '../base/index.js';
import type { ResidencyWait } from '../core/residencywait/index.js';

type Computed = 'inMs' | 'isUnderWay' | 'unplannedMs';

/** Properties of a waiting request that decide how long it waits. */
export interface TargetWaiter extends Omit<ResidencyWait, Computed> {
  /** How long it has waited before without word from the order lease holder; absent: 0. */
  readonly unplannedMs?: Ms;
  /** Returns true once nobody waits for the answer any more; absent: it never does. */
  readonly isOver?: () => boolean;
}
