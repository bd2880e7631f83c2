import type { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';

/** Credentials of both ends of a gRPC call between the system's processes. */
export interface PeerCredentials {
  readonly server: ServerCredentials;
  readonly channel: ChannelCredentials;
  /** Ends the watch on the key files. */
  close(): void;
}
