import type { FollowPace } from './followpace.js';

/** Where an entry reads changes (the store or another entry), and whether it shares them with other entries. */
type Reader = 'alone' | 'sharer' | 'moving' | 'shared';

/**
 * A request without an answer is noticed after its wait and the store driver's margin (0.7 s), within the 2 s in
 * which a change has to be in force. Calls to the store are costly: batching for 400 ms halves their number
 * compared with 40 ms. Short waits add few calls, since upstreams write all the time.
 */
export const paceTable: Readonly<Record<Reader, FollowPace>> = {
  /** From the store, for itself only. */
  alone: { waitMs: 300, batchMs: 400 },
  /** From the store, for all entries: the state is at most two waits and one pause old, see `SharedFeed`. */
  sharer: { waitMs: 300, batchMs: 200 },
  /** From the store, for all entries, while a move waits for the effect of an order. */
  moving: { waitMs: 300, batchMs: 150 },
  /** From another entry, without a call to the store. */
  shared: { waitMs: 1000, batchMs: 60 },
};
