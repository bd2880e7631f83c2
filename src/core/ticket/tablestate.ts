import type { Incarnation, UpstreamId } from '../../base/index.js';
import type { TicketLimits } from './ticketlimits.js';
import type { TicketRow } from './ticketrow.js';

/**
 * Ticket table of one sidecar incarnation, including the tables taken over from stopped peers.
 *
 * The maps are mutated: copying a hundred thousand rows for each request would cost more than the request.
 * A state passed to a step must therefore not be used again; only the returned state may be.
 */
export interface TableState {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  readonly limits: TicketLimits;
  readonly rows: Map<string, TicketRow>;
  /** Tickets with a recorded answer, oldest answer first. */
  readonly bodies: Set<string>;
  /** Tickets by the whole second in which they expire. */
  readonly expiries: Map<number, readonly string[]>;
  /** Seconds before this one have been swept. */
  readonly sweptUntilS: number;
  readonly usedBytes: number;
  /** True once a planned stop has begun: no ticket is issued or starts to run any more. */
  readonly leaving: boolean;
  /** Tables taken over, as `{upstream}.{incarnation}`, with the number of hand-overs of each. */
  readonly origins: ReadonlyMap<string, number>;
}
