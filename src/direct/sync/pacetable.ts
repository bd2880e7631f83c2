import type { FollowPace } from './followpace.js';

/** Whom an entry reads the store for. */
type Reader = 'alone' | 'sharer' | 'moving' | 'shared';

/**
 * A question that fell silent is noticed after its wait and the store driver's margin (0.7 s), under the 2 s
 * within which a change has to be in force. Each call to the store has its price: an entry that gathers for
 * 400 ms made about half the calls of one that gathers for 40.
 */
export const paceTable: Readonly<Record<Reader, FollowPace>> = {
  /** For itself only. */
  alone: { waitMs: 1000, gatherMs: 400 },
  /** For all entries: two waits and a pause are the oldest that its knowledge gets (see `SharedFeed`). */
  sharer: { waitMs: 300, gatherMs: 200 },
  /** For all, while an order's effect is waited for. */
  moving: { waitMs: 300, gatherMs: 150 },
  /** From another entry, which costs no call to the store. */
  shared: { waitMs: 1000, gatherMs: 60 },
};
