import type { Deployment } from './deployment.js';

/** One model in one upstream's memory. */
export interface ResidentView {
  readonly model: string;
  readonly phase: 'loading' | 'ready' | 'unloading';
  readonly sizeBytes: number;
  readonly lastUsedAtMs: number;
  /** Requests that run with it now. */
  readonly running: number;
}

/** One engine upstream as its sidecar tells it. */
export interface UpstreamView {
  readonly index: number;
  readonly id: string;
  readonly availabilityZone: string;
  readonly checksFencing: boolean;
  readonly alive: boolean;
  readonly leaving: boolean;
  /** Memory that models may take. */
  readonly memoryBytes: number;
  readonly freeBytes: number;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly residents: readonly ResidentView[];
}

/** What was asked of one model since the last plan. */
export interface DemandView {
  readonly model: string;
  readonly askedCount: number;
  readonly refusedCount: number;
  /** Upstream time that its requests took. */
  readonly serviceTimeMs: number;
}

/** What a planner knows. */
export interface ClusterView {
  readonly upstreams: readonly UpstreamView[];
  readonly demand: readonly DemandView[];
  readonly storeUp: boolean;
  /** Loads that wait for or use the weight store. */
  readonly loadsPending: number;
}

/** A change of what an upstream holds. */
export interface PlacementOrder {
  readonly type: 'load' | 'unload';
  readonly index: number;
  readonly model: string;
  /** Higher goes first to the weight store. */
  readonly urgency: number;
}

/** Decides which upstream holds which model. */
export interface PlacementPolicy {
  /** Time between plans; infinity never plans. */
  readonly intervalMs: number;
  /** Loads that are in memory when the run begins. */
  start(view: ClusterView): readonly PlacementOrder[];
  plan(view: ClusterView, nowMs: number): readonly PlacementOrder[];
  /** A request found its model nowhere. Also called when no planner lives. */
  missing(model: string, view: ClusterView, nowMs: number): readonly PlacementOrder[];
  /** Every upstream that holds the model has refused a request for it. At most once a second a model. */
  refused?(model: string, view: ClusterView, nowMs: number): readonly PlacementOrder[];
}

/** Builds the planner of one run. */
export type MakePlacement = (deployment: Deployment, seed: number) => PlacementPolicy;
