import type { Ms } from '../../base/index.js';
import type { Order } from '../../port/index.js';
import type { Intent } from '../fence/index.js';
import { enterOrder, type OpenOrder } from '../ledger/index.js';
import { nextDraft, type OrderDraft } from '../reconcile/index.js';
import type { Changed } from './changed.js';
import { mayLeave } from './mayleave.js';
import { noModel } from './nomodel.js';
import type { ResidencyEffect } from './residencyeffect.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';
import { sendDue } from './senddue.js';
import { viewOf } from './viewof.js';

function enter(state: ResidencyState, draft: OrderDraft, nowMs: Ms): ResidencyState {
  const orderCount = state.orderCount + 1;
  const orderId = `${state.upstream}/${state.incarnation}-${orderCount}`;
  const order: Order = { orderId, fencingToken: state.incarnation, ...draft };
  return { ...state, orderCount, ledger: enterOrder(state.ledger, order, nowMs) };
}

/**
 * Once a report shows the token of this order, the engine refuses every order of the sidecars before us,
 * and what that report shows in memory is all that they can have loaded.
 */
function enterBarrier(state: ResidencyState, nowMs: Ms): ResidencyState {
  for (const { order } of state.ledger.openOrders.values()) {
    if (order.model === noModel) return state;
  }
  return enter(state, { action: 'unload-model', model: noModel, version: '' }, nowMs);
}

function enterNew(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): ResidencyState {
  if (!state.isManaged || state.isLeaving) return state;
  if (!rules.mayOrder(state) || !rules.isInformed(state)) return state;
  if (!rules.hasBarrier(state)) return enterBarrier(state, nowMs);
  let entered = state;
  for (;;) {
    const draft = nextDraft(viewOf(entered, nowMs, rules));
    if (!draft) return entered;
    entered = enter(entered, draft, nowMs);
  }
}

/**
 * The attempt that the store should hold. An attempt that was proven too long ago is written again under
 * the next number, so that the write asks once more whether another sidecar has come.
 */
function attemptOf(
  state: ResidencyState,
  open: OpenOrder,
  nowMs: Ms,
  rules: ResidencyRules,
): number {
  const recorded = state.recordedAttempts.get(open.order.orderId) ?? 0;
  const known = Math.max(recorded, open.sentCount);
  if (!mayLeave(state, open, nowMs, rules)) return known;
  const isReady = recorded > open.sentCount && rules.isFresh(state, nowMs);
  return isReady ? recorded : known + 1;
}

/** Tells which intents the store should hold, if that has changed. */
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

/** Enters the orders that are wanted now, has their intents written, and sends what may leave. */
export function pursue(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): Changed {
  const entered = enterNew(state, nowMs, rules);
  const recorded = recordIntents(entered, nowMs, rules);
  const sent = sendDue(recorded.state, nowMs, rules);
  const effects: ResidencyEffect[] = [...recorded.effects, ...sent.effects];
  return { state: sent.state, effects };
}
