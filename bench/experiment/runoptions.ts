import type { Curve } from '../../standin/index.js';
import type { WorkloadRequest } from './workloadrequest.js';
import type { Deployment } from './deployment.js';
import type { Fault } from './fault.js';
import type { MakePlacement } from './placementpolicy.js';
import type { MakeQueue } from './queuepolicy.js';
import type { MakeRoute } from './routepolicy.js';

/** One run of the experiment: its workload, policies and faults. */
export interface RunOptions {
  readonly deployment: Deployment;
  readonly requests: readonly WorkloadRequest[];
  readonly durationMs: number;
  readonly seed: number;
  readonly curve: Curve;
  readonly queue: MakeQueue;
  readonly route: MakeRoute;
  readonly placement: MakePlacement;
  readonly faults?: readonly Fault[];
  /** Attempts that an entry makes for one request; 2 by default. */
  readonly attempts?: number;
  /** Delay after which entries learn of residency changes, in ms; 200 by default. */
  readonly listLagMs?: number;
  /** Multiplies the slots that the document declares; 1 by default. */
  readonly slotsFactor?: number;
  /** Callers retry a refused request once, after its retry-after time; false by default. */
  readonly retriesRefused?: boolean;
}
