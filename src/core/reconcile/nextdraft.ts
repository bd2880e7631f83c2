import type { Holding, HoldingKey, Ledger } from '../ledger/index.js';
import { fits, holdingKeyOf } from '../ledger/index.js';
import type { DesiredHolding } from './desiredholding.js';
import { isReplaced } from './isreplaced.js';
import type { OrderDraft } from './orderdraft.js';
import { roomOf } from './roomof.js';
import type { View } from './view.js';

/** Maximum concurrent loads of one upstream: more would only share the weight store's bandwidth. */
const MAX_PARALLEL_LOADS = 2;

/** Maximum open orders: well below the hundred last settled orders that an engine's report lists at least. */
const MAX_OPEN_ORDERS = 16;

function hasOrder({ openOrders }: Ledger, key: HoldingKey): boolean {
  for (const open of openOrders.values()) if (open.key === key) return true;
  return false;
}

function countLoads({ openOrders }: Ledger): number {
  let count = 0;
  for (const { order } of openOrders.values()) if (order.action.startsWith('load')) count += 1;
  return count;
}

function unload({ model, version, adapter }: Holding): OrderDraft {
  return { action: adapter ? 'unload-adapter' : 'unload-model', model, version, adapter };
}

function load({ model, version, adapter, sizeBytes }: DesiredHolding): OrderDraft {
  const action = adapter ? 'load-adapter' : 'load-model';
  return { action, model, version, adapter, sizeBytes };
}

function roleDraft({ ledger, plan, rules }: View): OrderDraft | undefined {
  if (!plan?.role || plan.role === ledger.role) return undefined;
  for (const { order } of ledger.openOrders.values()) if (order.role) return undefined;
  const draft: OrderDraft = { action: 'set-role', role: plan.role };
  const order = { ...draft, orderId: '', fencingToken: ledger.highestFencingToken };
  return fits(ledger, order, rules) ? draft : undefined;
}

/** Unloads a model that the document no longer lists, or a version whose successor is ready here. */
function outdatedDraft(view: View): OrderDraft | undefined {
  const { ledger, catalogue, desired } = view;
  for (const holding of ledger.holdings.values()) {
    const { model, version, adapter, phase, key } = holding;
    const listed = catalogue.models.get(model);
    if (adapter || listed?.version === version) continue;
    if (phase !== 'ready' || hasOrder(ledger, key)) continue;
    const isWanted = desired.some((wanted) => wanted.key === key);
    if (!isWanted && (!listed || isReplaced(view, holding))) return unload(holding);
  }
  return undefined;
}

function isMissing({ ledger, catalogue }: View, desired: DesiredHolding): boolean {
  // The document has the size of one version only: other versions may stay but are never loaded.
  if (catalogue.models.get(desired.model)?.version !== desired.version) return false;
  if (ledger.holdings.has(desired.key) || hasOrder(ledger, desired.key)) return false;
  if (!desired.adapter) return true;
  const base = holdingKeyOf(desired.model, desired.version);
  return ledger.holdings.get(base)?.phase === 'ready' && !hasOrder(ledger, base);
}

function loadDraft(view: View): OrderDraft | undefined {
  for (const desired of view.desired) {
    if (!isMissing(view, desired)) continue;
    if (!view.mayLoad || countLoads(view.ledger) >= MAX_PARALLEL_LOADS) return undefined;
    const draft = load(desired);
    const order = { ...draft, orderId: '', fencingToken: view.ledger.highestFencingToken };
    if (fits(view.ledger, order, view.rules)) return draft;
    const room = roomOf(view, desired);
    if (room.type === 'unload') return unload(room.victim);
    // Memory that is being freed for this model must not go to a less urgent one.
    if (room.type === 'waits') return undefined;
  }
  return undefined;
}

/** Returns the next order towards the desired state; undefined if there is nothing to order now. */
export function nextDraft(view: View): OrderDraft | undefined {
  const { ledger } = view;
  if (ledger.engineId === undefined || ledger.capacityBytes === 0) return undefined;
  if (ledger.openOrders.size >= MAX_OPEN_ORDERS) return undefined;
  return roleDraft(view) ?? outdatedDraft(view) ?? loadDraft(view);
}
