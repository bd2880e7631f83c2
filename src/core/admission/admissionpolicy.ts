import type { Ms } from '../../base/index.js';
import type { Customer, Kind } from '../document/index.js';

/** What the service document says about admission at one upstream. */
export interface AdmissionPolicy {
  readonly type: 'engine' | 'plain';
  readonly kinds: readonly Kind[];
  readonly customers: readonly Pick<Customer, 'id' | 'share'>[];
  /** Requests at once, as declared; for engines the measured token pace corrects it. */
  readonly slots: number;
  /** Longest time between tokens for 95 in 100. */
  readonly paceGoalMs: Ms;
  /** Long jobs at once. */
  readonly longJobs: number;
  /** Requests that may wait. */
  readonly queueLimit: number;
}
