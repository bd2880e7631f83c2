import type { CustomerId } from '../../base/index.js';
import type { Quota } from './quota.js';

/** A customer in the configuration. */
export interface CustomerSpec {
  readonly id: CustomerId;
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent for an unlimited customer. */
  readonly quota?: Quota;
}
