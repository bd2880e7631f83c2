import type { Incarnation } from '../../base/index.js';
import { emptyLedger } from '../ledger/index.js';
import type { ResidencyState } from './residencystate.js';

/** Load speed assumed until the first load has been observed: 2 GB/s. */
const FIRST_LOAD_BYTES_PER_MS = 2_000_000;

/** Returns the initial state, before anything is known of the upstream. */
export function emptyResidency(upstream: string): ResidencyState {
  return {
    upstream,
    ledger: emptyLedger,
    catalogue: undefined,
    checksFencing: false,
    incarnation: 0 as Incarnation,
    takenAtPoll: 0,
    isSuperseded: false,
    isStoreReachable: true,
    recordedAttempts: new Map(),
    provenAtMs: -Infinity,
    wantedIntents: undefined,
    orderCount: 0,
    plan: undefined,
    replicas: new Set(),
    rescues: new Map(),
    lastUsedAtMs: new Map(),
    loadBytesPerMs: FIRST_LOAD_BYTES_PER_MS,
    isManaged: true,
    isLeaving: false,
  };
}
