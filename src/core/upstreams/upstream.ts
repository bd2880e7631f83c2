import type { ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';

/** A model in an upstream's memory, as the upstream reports it. */
interface HeldModel {
  readonly version: number;
  readonly adapters: ReadonlySet<string>;
}

/** One upstream in the platform's list. */
export interface Upstream {
  /** A restarted upstream may keep its id; it then has no models in memory and no earlier state. */
  readonly id: UpstreamId;
  /** Unix time of its start; undefined if the upstream does not report it. */
  readonly startedAtMs?: Ms;
  /** Number of records that it has written, this one included; undefined if it does not report it. */
  readonly sequence?: number;
  readonly service: ServiceId;
  /** Version of its software; undefined if it does not report one. */
  readonly softwareVersion?: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Remaining time before it stops, if it leaves at short notice. */
  readonly leavesInMs?: Ms;
  readonly models: ReadonlyMap<ModelId, HeldModel>;
  /** Models whose weights are still in the memory of its host. */
  readonly warm: ReadonlySet<ModelId>;
  /** Models whose weights are on the disk of its host. */
  readonly onDisk: ReadonlySet<ModelId>;
}
