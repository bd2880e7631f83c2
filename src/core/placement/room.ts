import type { ModelId } from '../../base/index.js';

/** The evictions that make room on an upstream, and their cost. */
export interface Room {
  readonly evicted: readonly ModelId[];
  /** Cost of moves and of missed answers, in weighted answers on time. */
  readonly cost: number;
}
