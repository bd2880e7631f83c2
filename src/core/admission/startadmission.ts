import type { Kind } from '../document/index.js';
import { Accounts } from './accounts.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import type { AdmissionState } from './admissionstate.js';
import { Estimates } from './estimates.js';
import { Heap } from './heap.js';
import { Inflow } from './inflow.js';
import { Lane } from './lane.js';
import { LANES } from './lanes.js';
import { PaceLimit } from './pacelimit.js';

/** Nothing waits, nothing runs, nothing has been measured. */
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
    pace: new PaceLimit(policy.slots, policy.paceGoalMs),
    inflows: lanes.map(() => new Inflow()),
    waiting: new Map(),
    running: new Map(),
    parked: new Map(),
    models: new Map(),
    reviews: new Heap(),
    releaseRate: 0,
    runningMs: 0,
    countedAtMs: 0,
    pacedAtMs: 0,
    longRunning: 0,
    preempting: 0,
    wakeAtMs: Infinity,
  };
}
