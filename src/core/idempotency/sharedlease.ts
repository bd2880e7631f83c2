import type { Ms } from '../../base/index.js';

/** A lease of the store under which an entry maps many keys. */
interface Lease {
  readonly leaseId: string;
  /** Reading taken before the lease was asked for, so it lapses later than reckoned here. */
  readonly askedAtMs: Ms;
  readonly ttlMs: Ms;
}

/** How long one lease is shared by new mappings: it saves a write for each of them. */
const SHARED_MS = 30_000;

/** A request has to be bound within this; see `boundUntilMs`. */
const BINDING_MS = 5000;

/** A mapping outlives the time for which its key may be repeated by this: time to send, read and bind. */
const MARGIN_MS = 40_000;

/** Leases that outlive the tickets they are for. A mapping that lapsed first would let a key run twice. */
export const sharedLease = {
  /** Life of a lease for tickets that stay valid so long. */
  ttlMs(ticketValidMs: Ms): Ms {
    return ticketValidMs + SHARED_MS + MARGIN_MS;
  },

  /**
   * Until then a request that arrived at `arrivedAtMs` may rely on what the store says of its key. Later,
   * a mapping that it does not find may have been there and lapsed.
   */
  boundUntilMs(arrivedAtMs: Ms): Ms {
    return arrivedAtMs + BINDING_MS;
  },

  /** Whether a mapping under the lease outlives all that a request that arrived then may cause. */
  covers({ askedAtMs, ttlMs }: Lease, arrivedAtMs: Ms, ticketValidMs: Ms): boolean {
    return askedAtMs + ttlMs >= arrivedAtMs + ticketValidMs + MARGIN_MS;
  },
};
