import type { CustomerId, Ms, ServiceId } from '../../base/index.js';
import type { RecordedAnswer } from './recordedanswer.js';
import type { TicketPhase } from './ticketphase.js';

/** State of one ticket. Rows are replaced, never changed in place. */
export interface TicketRow {
  readonly customer: CustomerId;
  readonly service: ServiceId;
  readonly phase: TicketPhase;
  /** From this time on the ticket does not run any more. */
  readonly expiresAtMs: Ms;
  /** Hash of the request that first used the ticket; empty until then. */
  readonly requestHash: string;
  /** Calls that wait for the running call to end. */
  readonly waiting: readonly string[];
  /** Present while the phase is `answered`, unless dropped to free memory. */
  readonly answer?: RecordedAnswer;
}
