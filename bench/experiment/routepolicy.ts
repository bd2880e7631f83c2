import type { WorkloadRequest } from './workloadrequest.js';
import type { ReportedLoad } from './queuepolicy.js';

/** An upstream as one entry knows it. */
export interface Candidate {
  readonly index: number;
  readonly id: string;
  readonly availabilityZone: string;
  readonly phase: 'ready' | 'loading';
  /** Load in the last answer or refusal that this entry received from the upstream. */
  readonly load: ReportedLoad | undefined;
}

/** Outcome of one attempt. */
export interface RouteOutcome {
  readonly index: number;
  readonly ask: WorkloadRequest;
  readonly type: 'answered' | 'refused' | 'broken' | 'unreachable';
  readonly load: ReportedLoad | undefined;
}

/** Chooses an upstream for each request. Each entry has its own instance. */
export interface RoutePolicy {
  /** `candidates` hold the model or serve its route, are not draining and have not been tried yet. */
  choose(
    ask: WorkloadRequest,
    candidates: readonly Candidate[],
    nowMs: number,
  ): Candidate | undefined;
  learn(outcome: RouteOutcome, nowMs: number): void;
}

/** Identity and zone of an entry. */
export interface RouteSettings {
  readonly entry: number;
  readonly availabilityZone: string;
  readonly seed: number;
}

/** Creates the route policy of one entry. */
export type MakeRoute = (settings: RouteSettings) => RoutePolicy;
