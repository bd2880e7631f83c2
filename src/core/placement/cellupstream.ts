import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';

/** An engine upstream of a cell, as published by its sidecar. */
export interface CellUpstream {
  readonly id: UpstreamId;
  readonly availabilityZone: string;
  /** Memory for models and adapters: accelerator memory minus the KV-cache reserve. */
  readonly capacityBytes: number;
  readonly slots: number;
  readonly role: 'mixed' | 'prefill' | 'decode';
  /** `leaving`: its models are moved away. `lost`: its models are ignored. */
  readonly state: 'usable' | 'leaving' | 'lost';
  readonly residents: readonly {
    readonly model: ModelId;
    readonly version: string;
    readonly phase: 'loading' | 'ready' | 'unloading';
    readonly adapters: readonly AdapterId[];
  }[];
}
