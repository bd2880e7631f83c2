import type { ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';

/** A model as an upstream reports it. */
interface HeldModel {
  readonly version: number;
  readonly adapters: ReadonlySet<string>;
}

/** One upstream as the platform's list tells of it. */
export interface Upstream {
  /** It may start again under the id that it had: then it holds and knows nothing of before. */
  readonly id: UpstreamId;
  /** Unix time of its start; undefined where upstreams do not tell. */
  readonly startedAtMs?: Ms;
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
