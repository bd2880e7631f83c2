import type { HostId } from '../../base/index.js';

/** An entry, as the lagging host list shows it. */
export interface MeshHost {
  readonly id: HostId;
  /** IP number and port of its gRPC listener. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}
