import type { Ms } from '../../base/index.js';
import type { RouteWant } from './routewant.js';

/** A request that waits for its model to be loaded. */
export interface Waiter {
  readonly want: RouteWant;
  readonly deadlineAtMs: Ms;
}
