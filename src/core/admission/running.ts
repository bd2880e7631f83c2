import type { Ms } from '../../base/index.js';
import type { Waiting } from './waiting.js';

/** A request that runs. */
export interface Running {
  readonly waiting: Waiting;
  readonly startedAtMs: Ms;
  /** Whether it may be asked to make room: repeatable, and long or of the background. */
  readonly yields: boolean;
  readonly longJob: boolean;
  answering: boolean;
  preempting: boolean;
}
