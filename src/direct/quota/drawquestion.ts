import type { CustomerId, HostId } from '../../base/index.js';

/** An entry asks for what one request needs beyond what it holds. */
export interface DrawQuestion {
  readonly entry: HostId;
  readonly customer: CustomerId;
  readonly missing: number;
  /** What the whole request takes. */
  readonly cost: number;
}
