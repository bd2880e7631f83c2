import type { Ms } from '../../base/index.js';
import type { Customer, Kind } from '../document/index.js';

/** Admission settings of one upstream, taken from the service document. */
export interface AdmissionPolicy {
  readonly type: 'engine' | 'plain';
  readonly kinds: readonly Kind[];
  readonly customers: readonly Pick<Customer, 'id' | 'share'>[];
  /** Declared number of concurrent requests; for engines it is adjusted by the measured time between tokens. */
  readonly slots: number;
  /** Target for the 95th percentile of the time between tokens. */
  readonly paceGoalMs: Ms;
  /** Maximum number of concurrent long jobs. */
  readonly longJobs: number;
  /** Maximum number of queued requests. */
  readonly queueLimit: number;
}
