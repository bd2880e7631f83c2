import type { Ms } from '../../base/index.js';
import type { Kind } from '../document/index.js';
import type { Accounts } from './accounts.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import type { Estimates } from './estimates.js';
import type { Heap } from './heap.js';
import type { DecayingRate } from './decayingrate.js';
import type { Lane } from './lane.js';
import type { ConcurrencyLimit } from './concurrencylimit.js';
import type { Running } from './running.js';
import type { Waiting } from './waiting.js';

/** The last reported state of a model in memory. */
interface ModelPhase {
  readonly phase: 'ready' | 'loading' | 'absent';
  readonly readyAtMs: Ms;
}

/**
 * State of admission control. Its tables are mutated in place and belong to the core alone: with thousands
 * of queued requests, copying them at each event would cost more than the decisions. A step returns the
 * same object; no other code may keep or change its parts.
 */
export interface AdmissionState {
  policy: AdmissionPolicy;
  kinds: ReadonlyMap<string, Kind>;
  estimates: Estimates;
  concurrency: ConcurrencyLimit;
  /** One for each entry of `LANES`. */
  readonly lanes: readonly Lane[];
  /** Rate at which work enters each lane. */
  readonly inflows: readonly DecayingRate[];
  readonly accounts: Accounts;
  readonly waiting: Map<string, Waiting>;
  readonly running: Map<string, Running>;
  /** Requests waiting for a model that is being loaded, by model. */
  readonly parked: Map<string, Set<Waiting>>;
  readonly models: Map<string, ModelPhase>;
  /** Queued requests by the time of their next review. */
  readonly reviews: Heap<Waiting>;
  /** Estimated rate at which running requests free their slots, per ms. */
  slotsFreedPerMs: number;
  /** Integral of the number of running requests over time since the token pace was last measured. */
  runningMs: Ms;
  countedAtMs: Ms;
  pacedAtMs: Ms;
  longRunning: number;
  preempting: number;
  wakeAtMs: Ms;
}
