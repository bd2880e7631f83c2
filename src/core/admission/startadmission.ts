import type { Kind } from '../document/index.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import type { AdmissionState } from './admissionstate.js';
import { Estimates } from './estimates.js';
import { Heap } from './heap.js';
import { Inflow } from './inflow.js';
import { LANE_COUNT } from './lanecount.js';
import { Lane } from './lane.js';
import { PaceLimit } from './pacelimit.js';

function shareOf({ customers }: AdmissionPolicy): ReadonlyMap<string, number> {
  return new Map<string, number>(customers.map(({ id, share }) => [id, share]));
}

/** Nothing waits, nothing runs, nothing has been measured. */
export function startAdmission(policy: AdmissionPolicy): AdmissionState {
  const lanes = Array.from({ length: LANE_COUNT }, () => new Lane());
  for (const lane of lanes) lane.setShares(shareOf(policy));
  return {
    policy,
    lanes,
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
