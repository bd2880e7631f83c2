import type { ModelId, Ms, UpstreamId } from '../../base/index.js';

/** A model that an upstream holds, loads or unloads. */
interface PlacedModel {
  readonly model: ModelId;
  readonly phase: 'ready' | 'loading' | 'unloading';
  /** Time since it was first seen there, or since its load was ordered while it is loading. */
  readonly ageMs: Ms;
  readonly adapters: ReadonlySet<string>;
}

/** One engine as the planner sees it. */
export interface PlanUpstream {
  readonly id: UpstreamId;
  readonly slots: number;
  /** Version of its software; absent where it is not reported. */
  readonly softwareVersion?: string;
  /** How long work takes there, as a factor of the usual time; absent: 1. */
  readonly pace?: number;
  /** Limit of requests per second over all entries; absent if there is none. */
  readonly ratePerS?: number;
  readonly placed: readonly PlacedModel[];
  /** True while an order about a model is under way or unconfirmed. */
  readonly isBusy: boolean;
  /** Models whose weights its host has in memory (`warm`) or on disk. */
  readonly warm: ReadonlySet<ModelId>;
  readonly onDisk: ReadonlySet<ModelId>;
  /** Requests that run or wait there, as far as known. */
  readonly load: number;
}
