import type { Ms } from '../../base/index.js';
import type { Waiting } from './waiting.js';

/** A running request. */
export interface Running {
  readonly waiting: Waiting;
  readonly startedAtMs: Ms;
  /** True if it may be preempted: it is repeatable, and long or background work. */
  readonly isPreemptible: boolean;
  readonly longJob: boolean;
  answering: boolean;
  preempting: boolean;
}
