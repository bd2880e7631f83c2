import type { Ms } from '../../base/index.js';

/** A store lease under which an entry maps many keys. */
interface Lease {
  readonly leaseId: string;
  /** Clock reading before the lease was requested, so the lease expires later than computed here. */
  readonly askedAtMs: Ms;
  readonly ttlMs: Ms;
}

/** Time for which new mappings share one lease, which saves a write for each of them. */
const SHARED_MS = 30_000;

/** Maximum time to bind a request to a ticket; see `boundUntilMs`. */
const BINDING_MS = 5000;

/**
 * Time by which a mapping outlives the period in which its key may be repeated. It covers sending, reading and binding.
 */
const MARGIN_MS = 40_000;

/** Lease times. A lease outlives its tickets: a mapping that lapsed first would let a key run twice. */
export const sharedLease = {
  /** Returns the time to live of a lease for tickets of this validity. */
  ttlMs(ticketValidMs: Ms): Ms {
    return ticketValidMs + SHARED_MS + MARGIN_MS;
  },

  /**
   * Returns the time until which a request that arrived at `arrivedAtMs` may rely on the store's value of its
   * key. Later, a missing mapping may have existed and lapsed.
   */
  boundUntilMs(arrivedAtMs: Ms): Ms {
    return arrivedAtMs + BINDING_MS;
  },

  /** True if a mapping under the lease outlives the ticket of a request that arrived at `arrivedAtMs`. */
  covers({ askedAtMs, ttlMs }: Lease, arrivedAtMs: Ms, ticketValidMs: Ms): boolean {
    return askedAtMs + ttlMs >= arrivedAtMs + ticketValidMs + MARGIN_MS;
  },
};
