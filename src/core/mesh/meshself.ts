import type { HostId } from '../../base/index.js';

/** Identity and role of this process. */
export interface MeshSelf {
  readonly id: HostId;
  /** IP address and port of its gRPC listener. */
  readonly address: string;
  readonly role: 'entry' | 'sidecar';
  /** Keys of the records that this process keeps; empty means all. */
  readonly interests: readonly string[];
  /** False if no host list is configured; the process then has no peers. */
  readonly hasHostList: boolean;
  /** False if no key-value store is configured. */
  readonly hasStore: boolean;
}
