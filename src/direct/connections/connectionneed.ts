import type { UpstreamId } from '../../base/index.js';

/** Connections to one upstream that an entry has open, and that it needs, beyond its base. */
export interface ConnectionNeed {
  readonly upstream: UpstreamId;
  readonly openCount: number;
  readonly neededCount: number;
}
