import type { Ms } from '../../base/index.js';
import type { Order } from '../../port/index.js';
import type { Intent } from '../fence/index.js';
import { addOrder, type OpenOrder } from '../ledger/index.js';
import { nextDraft, type OrderDraft } from '../reconcile/index.js';
import type { Changed } from './changed.js';
import { maySend } from './maysend.js';
import { barrierModel } from './barriermodel.js';
import type { ResidencyEffect } from './residencyeffect.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';
import { sendDue } from './senddue.js';
import { viewOf } from './viewof.js';

function enter(state: ResidencyState, draft: OrderDraft, nowMs: Ms): ResidencyState {
  const orderCount = state.orderCount + 1;
  const orderId = `${state.upstream}/${state.incarnation}-${orderCount}`;
  const order: Order = { orderId, fencingToken: state.incarnation, ...draft };
  return { ...state, orderCount, ledger: addOrder(state.ledger, order, nowMs) };
}

/**
 * Enters an order that only raises the engine's fencing token. Once a report shows that token, the engine refuses all
 * orders of earlier sidecars, so they cannot have loaded more than that report shows.
 */
function enterBarrier(state: ResidencyState, nowMs: Ms): ResidencyState {
  for (const { order } of state.ledger.openOrders.values()) {
    if (order.model === barrierModel) return state;
  }
  return enter(state, { action: 'unload-model', model: barrierModel, version: '' }, nowMs);
}

function enterNew(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): ResidencyState {
  if (!state.isManaged || state.isLeaving) return state;
  if (!rules.mayOrder(state) || !rules.hasCurrentReport(state)) return state;
  if (!rules.hasBarrier(state)) return enterBarrier(state, nowMs);
  let entered = state;
  for (;;) {
    const draft = nextDraft(viewOf(entered, nowMs, rules));
    if (!draft) return entered;
    entered = enter(entered, draft, nowMs);
  }
}

/**
 * Returns the attempt number that the store should hold. If the proof of an attempt is too old, the attempt is written
 * again under the next number: that write fails if another sidecar has taken over meanwhile.
 */
function attemptOf(
  state: ResidencyState,
  open: OpenOrder,
  nowMs: Ms,
  rules: ResidencyRules,
): number {
  const recorded = state.recordedAttempts.get(open.order.orderId) ?? 0;
  const known = Math.max(recorded, open.sentCount);
  if (!maySend(state, open, nowMs, rules)) return known;
  const isReady = recorded > open.sentCount && rules.isFresh(state, nowMs);
  return isReady ? recorded : known + 1;
}

/** Emits the intents that the store should hold, if they have changed. */
function recordIntents(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): Changed {
  if (state.incarnation === 0 || state.isSuperseded) return { state, effects: [] };
  const intents: Intent[] = [];
  for (const open of state.checksFencing ? [] : state.ledger.openOrders.values()) {
    const attempt = attemptOf(state, open, nowMs, rules);
    if (attempt > 0) intents.push({ order: open.order, attempt });
  }
  const names = intents.map(({ order, attempt }) => `${order.orderId}#${attempt}`);
  const wantedIntents = names.join(' ');
  if (wantedIntents === state.wantedIntents) return { state, effects: [] };
  return { state: { ...state, wantedIntents }, effects: [{ type: 'intents', intents }] };
}

/** Enters the orders that are needed now, has their intents recorded, and sends those that are due and allowed. */
export function issueOrders(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): Changed {
  const entered = enterNew(state, nowMs, rules);
  const recorded = recordIntents(entered, nowMs, rules);
  const sent = sendDue(recorded.state, nowMs, rules);
  const effects: ResidencyEffect[] = [...recorded.effects, ...sent.effects];
  return { state: sent.state, effects };
}
