import type { Ms } from '../../base/index.js';
import { defaultLedgerRules, type Ledger, type OpenOrder } from '../ledger/index.js';
import type { ResidencyRules } from './residencyrules.js';

/** Validity of the proof. Shorter than the restart of an engine: see docs/design/memory.md, assumption 4. */
const FRESH_MS: Ms = 1000;

function changesRole(ledger: Ledger, { order }: OpenOrder): boolean {
  return order.role !== undefined && order.role !== ledger.role;
}

/** The guards in production. */
export const defaultResidencyRules: ResidencyRules = {
  ledger: defaultLedgerRules,
  mayOrder: ({ incarnation, isSuperseded }) => incarnation > 0 && !isSuperseded,
  hasCurrentReport: ({ ledger, takenAtPoll }) => ledger.poll > takenAtPoll,
  isRecorded: ({ checksFencing, recordedAttempts }, { order, sentCount }) =>
    checksFencing || (recordedAttempts.get(order.orderId) ?? 0) > sentCount,
  isFresh: ({ checksFencing, provenAtMs }, nowMs) =>
    checksFencing || nowMs - provenAtMs <= FRESH_MS,
  hasBarrier: ({ checksFencing, incarnation, ledger }) =>
    !checksFencing || ledger.highestFencingToken >= incarnation,
  showsSuccessor: ({ checksFencing, incarnation }, { highestFencingToken }) =>
    checksFencing && incarnation > 0 && highestFencingToken > incarnation,
  tokenOf: ({ incarnation }) => incarnation,
  isPinned(ledger, open) {
    if (changesRole(ledger, open)) return ledger.pins.size > 0;
    const unloads = open.order.action.startsWith('unload');
    return unloads && open.key !== undefined && ledger.pins.has(open.key);
  },
  isBeingRemoved(ledger, key) {
    for (const open of ledger.openOrders.values()) {
      if (changesRole(ledger, open)) return true;
      if (open.key === key && open.order.action.startsWith('unload')) return true;
    }
    return false;
  },
  inherit: (inherited) => inherited,
};
