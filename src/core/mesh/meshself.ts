import type { HostId } from '../../base/index.js';

/** The process that this core decides for. */
export interface MeshSelf {
  readonly id: HostId;
  /** IP number and port of its gRPC listener. */
  readonly address: string;
  readonly role: 'entry' | 'sidecar';
  /** Keys that this process wants; empty means all. */
  readonly interests: readonly string[];
  /** False when no host list is set up: the process has no peers then. */
  readonly hasHostList: boolean;
  /** False when no key-value service is set up. */
  readonly hasStore: boolean;
}
