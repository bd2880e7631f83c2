import type { ChannelCredentials } from '@grpc/grpc-js';
import type { Clock } from '../../base/index.js';

/** Options of the hop to the sidecars. */
export interface LinkOptions {
  readonly clock: Clock;
  /** How sidecars are met; unauthenticated by default. */
  readonly credentials?: ChannelCredentials;
  /** Configuration revision in force here of what concerns the sidecar at this address. */
  readonly revision: (sidecarAddress: string) => number;
  /** Told when the revision in force at a sidecar has changed. */
  readonly sawRevision: (revision: number, fromAddress: string) => void;
  /** A sidecar that has nothing to do for so long is let go of. Defaults to a minute. */
  readonly idleMs?: number;
}
