import type { Kind } from '../document/index.js';
import { Accounts } from './accounts.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import type { AdmissionState } from './admissionstate.js';
import { Estimates } from './estimates.js';
import { Heap } from './heap.js';
import { DecayingRate } from './decayingrate.js';
import { Lane } from './lane.js';
import { LANES } from './lanes.js';
import { ConcurrencyLimit } from './concurrencylimit.js';

/** Creates the initial state: nothing queued, running or measured. */
export function startAdmission(policy: AdmissionPolicy): AdmissionState {
  const lanes = LANES.map(() => new Lane());
  const accounts = new Accounts();
  accounts.configure(policy);
  return {
    policy,
    lanes,
    accounts,
    kinds: new Map<string, Kind>(policy.kinds.map((kind) => [kind.name, kind])),
    estimates: new Estimates(policy.paceGoalMs),
    concurrency: new ConcurrencyLimit(policy.slots, policy.paceGoalMs),
    inflows: lanes.map(() => new DecayingRate()),
    waiting: new Map(),
    running: new Map(),
    parked: new Map(),
    models: new Map(),
    reviews: new Heap(),
    slotsFreedPerMs: 0,
    runningMs: 0,
    countedAtMs: 0,
    pacedAtMs: 0,
    longRunning: 0,
    preempting: 0,
    wakeAtMs: Infinity,
  };
}
