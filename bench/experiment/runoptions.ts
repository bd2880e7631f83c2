import type { Curve } from '../../standin/index.js';
import type { Ask } from './ask.js';
import type { Deployment } from './deployment.js';
import type { Fault } from './fault.js';
import type { MakePlacement } from './placementpolicy.js';
import type { MakeQueue } from './queuepolicy.js';
import type { MakeRoute } from './routepolicy.js';

/** One run of the experiment: a workload, the policies that meet it, and what fails on the way. */
export interface RunOptions {
  readonly deployment: Deployment;
  readonly asks: readonly Ask[];
  readonly durationMs: number;
  readonly seed: number;
  readonly curve: Curve;
  readonly queue: MakeQueue;
  readonly route: MakeRoute;
  readonly placement: MakePlacement;
  readonly faults?: readonly Fault[];
  /** Attempts that an entry makes for one request; 2 if left out. */
  readonly attempts?: number;
  /** How late entries learn what is resident where, in ms; 200 if left out. */
  readonly listLagMs?: number;
  /** Slots declared in the document are multiplied by this; 1 if left out. */
  readonly slotsFactor?: number;
  /** Clients who were refused come back once, when they were told to; false if left out. */
  readonly comeBack?: boolean;
}
