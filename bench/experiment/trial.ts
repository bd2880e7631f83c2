import { defaultCurve } from '../../standin/index.js';
import type { WorkloadRequest } from './workloadrequest.js';
import type { Deployment } from './deployment.js';
import type { Fault } from './fault.js';
import type { PolicySet } from './policyset.js';
import { workload, type WorkloadOptions } from './workload.js';
import { World } from './world.js';

/** Workload and faults of one run. */
export interface TrialOptions extends Omit<WorkloadOptions, 'curve'> {
  readonly deployment: Deployment;
  readonly faults?: readonly Fault[];
  /** Selects the requests to keep. */
  readonly keep?: (ask: WorkloadRequest) => boolean;
}

/** Result of one run. */
export type TrialResult = ReturnType<World['run']>;

/** Draws the requests of a run. */
export function requestsOf({
  deployment,
  keep,
  ...options
}: TrialOptions): readonly WorkloadRequest[] {
  const requests = workload(deployment, { ...options, curve: defaultCurve });
  return keep ? requests.filter(keep) : requests;
}

/** Runs one set of policies on one workload. */
export function trial(
  policies: PolicySet,
  options: TrialOptions,
  requests = requestsOf(options),
): TrialResult {
  const { deployment, durationMs, seed, faults } = options;
  const run = { deployment, requests, durationMs, seed, faults, curve: defaultCurve };
  return new World({ ...run, ...policies }).run();
}
