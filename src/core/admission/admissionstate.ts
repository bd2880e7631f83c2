import type { Ms } from '../../base/index.js';
import type { Kind } from '../document/index.js';
import type { Accounts } from './accounts.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import type { Estimates } from './estimates.js';
import type { Heap } from './heap.js';
import type { Inflow } from './inflow.js';
import type { Lane } from './lane.js';
import type { PaceLimit } from './pacelimit.js';
import type { Running } from './running.js';
import type { Waiting } from './waiting.js';

/** Where a model is in memory, as far as admission was told. */
interface ModelPhase {
  readonly phase: 'ready' | 'loading' | 'absent';
  readonly readyAtMs: Ms;
}

/**
 * What admission knows. Its tables are changed in place and belong to the core alone: with thousands of
 * requests waiting, copying them at each event would cost more than the decisions. A step gives the
 * same state back; nobody else may hold or change its parts.
 */
export interface AdmissionState {
  policy: AdmissionPolicy;
  kinds: ReadonlyMap<string, Kind>;
  estimates: Estimates;
  pace: PaceLimit;
  /** As many as `LANES`. */
  readonly lanes: readonly Lane[];
  /** Work that was let into each lane lately. */
  readonly inflows: readonly Inflow[];
  readonly accounts: Accounts;
  readonly waiting: Map<string, Waiting>;
  readonly running: Map<string, Running>;
  /** Requests for models that are being loaded. */
  readonly parked: Map<string, Set<Waiting>>;
  readonly models: Map<string, ModelPhase>;
  /** When each waiting request has to be looked at again. */
  readonly reviews: Heap<Waiting>;
  /** Places that running requests give back a ms, as estimated. */
  releaseRate: number;
  /** Number of running requests times time, since the pace was last measured. */
  runningMs: Ms;
  countedAtMs: Ms;
  pacedAtMs: Ms;
  longRunning: number;
  preempting: number;
  wakeAtMs: Ms;
}
