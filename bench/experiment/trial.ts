import { defaultCurve } from '../../standin/index.js';
import type { Ask } from './ask.js';
import type { Deployment } from './deployment.js';
import type { Fault } from './fault.js';
import type { PolicySet } from './policyset.js';
import { workload, type WorkloadOptions } from './workload.js';
import { World } from './world.js';

/** One workload and what fails on the way. */
export interface TrialOptions extends Omit<WorkloadOptions, 'curve'> {
  readonly deployment: Deployment;
  readonly faults?: readonly Fault[];
  /** Keeps only a part of the requests. */
  readonly keep?: (ask: Ask) => boolean;
}

/** What a run gives. */
export type TrialResult = ReturnType<World['run']>;

/** The requests of a trial. */
export function asksOf({ deployment, keep, ...options }: TrialOptions): readonly Ask[] {
  const asks = workload(deployment, { ...options, curve: defaultCurve });
  return keep ? asks.filter(keep) : asks;
}

/** Runs one set of policies over one workload. */
export function trial(
  policies: PolicySet,
  options: TrialOptions,
  asks = asksOf(options),
): TrialResult {
  const { deployment, durationMs, seed, faults } = options;
  const run = { deployment, asks, durationMs, seed, faults, curve: defaultCurve };
  return new World({ ...run, ...policies }).run();
}
