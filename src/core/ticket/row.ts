import type { CustomerId, Ms, ServiceId } from '../../base/index.js';
import type { Answer } from './answer.js';
import type { Phase } from './phase.js';

/** What the table knows of one ticket. Rows are replaced, never changed in place. */
export interface Row {
  readonly customer: CustomerId;
  readonly service: ServiceId;
  readonly phase: Phase;
  /** From then on the ticket is not run any more. */
  readonly expiresAtMs: Ms;
  /** Hash of the request that first used the ticket; empty until then. */
  readonly requestHash: string;
  /** Calls that wait for the running one to end. */
  readonly waiting: readonly string[];
  /** Kept while phase is `answered`, unless room was needed. */
  readonly answer?: Answer;
}
