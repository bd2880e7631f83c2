import type { UpstreamId } from '../../base/index.js';

/** Connections to one upstream that an entry may open beyond its base for a while. */
export interface ConnectionLoan {
  readonly upstream: UpstreamId;
  readonly count: number;
}
