import type { CustomerId } from '../../base/index.js';
import type { Quota } from './quota.js';

/** A customer as the configuration describes it. */
export interface CustomerSpec {
  readonly id: CustomerId;
  /** Goes before the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent for a customer without a limit. */
  readonly quota?: Quota;
}
