import type { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';

/** Credentials for both ends of gRPC calls between the system's processes. */
export interface PeerCredentials {
  readonly server: ServerCredentials;
  readonly channel: ChannelCredentials;
  /** Stops watching the key files. */
  close(): void;
}
