import type { Ms, RequestId } from '../../base/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';

/** What one entry tells another of a stream. */
export interface OriginCopy {
  /** The caller's request that the first event comes with. */
  readonly id: RequestId;
  readonly origin: StreamOrigin;
  /** Rises with each change of a stream's origin, as its request may be sent again before its first event. */
  readonly sequence: number;
  /** How much longer its caller may take the stream up. */
  readonly keepMs: Ms;
}
