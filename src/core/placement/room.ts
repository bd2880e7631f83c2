import type { ModelId } from '../../base/index.js';

/** What has to go from an upstream so that so many bytes fit, and what that costs. */
export interface Room {
  readonly evicted: readonly ModelId[];
  /** Moves and lost answers, in weighted answers in time. */
  readonly cost: number;
}
