import type { Ms, RequestId } from '../../base/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';

/** What one entry tells another of a stream. */
export interface OriginCopy {
  /** The caller's request that the first event comes with. */
  readonly id: RequestId;
  readonly origin: StreamOrigin;
  /** Rises with each record of the stream at one entry. Entries of earlier releases correct an origin with a higher number. */
  readonly sequence: number;
  /** How much longer its caller may take the stream up. */
  readonly keepMs: Ms;
}
