import type { DrainState } from './drainstate.js';

/** An event for the drain of an upstream. */
export type DrainEvent =
  | { readonly type: 'leave'; readonly reason: NonNullable<DrainState['reason']> }
  | { readonly type: 'in-flight'; readonly count: number }
  | { readonly type: 'unplaced'; readonly count: number }
  | { readonly type: 'tick' };
