import type { CustomerId, HostId } from '../../base/index.js';

/** An entry's request for the part of a request's cost that its local bucket lacks. */
export interface DrawRequest {
  readonly entry: HostId;
  readonly customer: CustomerId;
  readonly missing: number;
  /** Cost of the whole request. */
  readonly cost: number;
}
