import type { ModelId, Ms, UpstreamId } from '../../base/index.js';

/** A model at an upstream, or on its way there. */
interface PlacedModel {
  readonly model: ModelId;
  readonly phase: 'ready' | 'loading' | 'unloading';
  /** How long it has been there. */
  readonly ageMs: Ms;
  readonly adapters: ReadonlySet<string>;
}

/** One engine as the planner sees it. */
export interface PlanUpstream {
  readonly id: UpstreamId;
  readonly slots: number;
  /** Requests a second that it takes from all entries; absent where it takes what comes. */
  readonly ratePerS?: number;
  readonly placed: readonly PlacedModel[];
  /** True while an order about a model is under way, or its outcome is not known. */
  readonly isBusy: boolean;
  /** Weights that its host still has in memory, and on disk. */
  readonly warm: ReadonlySet<ModelId>;
  readonly onDisk: ReadonlySet<ModelId>;
  /** Requests there and waiting, as far as known. */
  readonly load: number;
}
