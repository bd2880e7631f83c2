import type { HostId } from '../../base/index.js';

/** An entry in the host list, which may lag behind the actual hosts. */
export interface MeshHost {
  readonly id: HostId;
  /** IP address and port of its gRPC listener. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}
