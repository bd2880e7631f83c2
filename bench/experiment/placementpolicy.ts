import type { Deployment } from './deployment.js';

/** One model in one upstream's memory. */
export interface ResidentView {
  readonly model: string;
  readonly phase: 'loading' | 'ready' | 'unloading';
  readonly sizeBytes: number;
  readonly lastUsedAtMs: number;
  /** Requests that use the model now. */
  readonly running: number;
}

/** An engine upstream as reported by its sidecar. */
export interface UpstreamView {
  readonly index: number;
  readonly id: string;
  readonly availabilityZone: string;
  readonly checksFencing: boolean;
  readonly alive: boolean;
  readonly leaving: boolean;
  /** Memory available to models. */
  readonly memoryBytes: number;
  readonly freeBytes: number;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly residents: readonly ResidentView[];
}

/** Demand for one model since the last plan. */
export interface DemandView {
  readonly model: string;
  readonly askedCount: number;
  readonly refusedCount: number;
  /** Upstream time used by its requests. */
  readonly serviceTimeMs: number;
}

/** Input of a plan. */
export interface ClusterView {
  readonly upstreams: readonly UpstreamView[];
  readonly demand: readonly DemandView[];
  readonly storeUp: boolean;
  /** Loads that wait for the weight store or read from it. */
  readonly loadsPending: number;
}

/** An order to load or unload a model. */
export interface PlacementOrder {
  readonly type: 'load' | 'unload';
  readonly index: number;
  readonly model: string;
  /** Loads with higher urgency read from the weight store first. */
  readonly urgency: number;
}

/** Decides which upstream holds which model. */
export interface PlacementPolicy {
  /** Time between plans; infinity disables planning. */
  readonly intervalMs: number;
  /** Models that are in memory when the run starts. */
  start(view: ClusterView): readonly PlacementOrder[];
  plan(view: ClusterView, nowMs: number): readonly PlacementOrder[];
  /** Called when a requested model is in no upstream's memory, also while the planner is lost. */
  missing(model: string, view: ClusterView, nowMs: number): readonly PlacementOrder[];
  /** Called when a request was refused and no upstream loads its model, at most once per second and model. */
  refused?(model: string, view: ClusterView, nowMs: number): readonly PlacementOrder[];
}

/** Creates the placement policy of one run. */
export type MakePlacement = (deployment: Deployment, seed: number) => PlacementPolicy;
