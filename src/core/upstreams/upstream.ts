import type { ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';

/** A model as an upstream reports it. */
interface HeldModel {
  readonly version: number;
  readonly adapters: ReadonlySet<string>;
}

/** One upstream as the platform's list tells of it. The id is of one start: it changes at a restart. */
export interface Upstream {
  readonly id: UpstreamId;
  readonly service: ServiceId;
  /** IP number and port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How long it has left, where it leaves at short notice. */
  readonly leavesInMs?: Ms;
  readonly models: ReadonlyMap<ModelId, HeldModel>;
  /** Models whose weights its host still has in memory, and on disk. */
  readonly warm: ReadonlySet<ModelId>;
  readonly onDisk: ReadonlySet<ModelId>;
}
