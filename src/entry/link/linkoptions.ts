import type { ChannelCredentials } from '@grpc/grpc-js';
import type { Clock } from '../../base/index.js';

/** Options of the connections to sidecars. */
export interface LinkOptions {
  readonly clock: Clock;
  /** Credentials for connections to sidecars; unauthenticated by default. */
  readonly credentials?: ChannelCredentials;
  /** Returns the revision in force here of the configuration that concerns the sidecar at this address. */
  readonly revision: (sidecarAddress: string) => number;
  /** Called when a sidecar reports another revision in force than before. */
  readonly observeRevision: (revision: number, fromAddress: string) => void;
  /** The connection to a sidecar without requests is closed after this time; one minute by default. */
  readonly idleMs?: number;
}
