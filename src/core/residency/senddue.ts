import type { Ms } from '../../base/index.js';
import type { Order } from '../../port/index.js';
import { nextPhase } from '../order/index.js';
import type { Changed } from './changed.js';
import { maySend } from './maysend.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** Sends every order that is due and allowed. A resend has the same id, so the engine executes it once. */
export function sendDue(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): Changed {
  const { ledger } = state;
  if (ledger.openOrders.size === 0 || !rules.isFresh(state, nowMs)) return { state, effects: [] };
  const openOrders = new Map(ledger.openOrders);
  const sent: Order[] = [];
  for (const open of ledger.openOrders.values()) {
    if (!maySend(state, open, nowMs, rules) || !rules.isRecorded(state, open)) continue;
    const order = { ...open.order, fencingToken: rules.tokenOf(state) };
    const phase = nextPhase(open.phase, 'sent');
    const attempt = state.recordedAttempts.get(order.orderId) ?? 0;
    const sentCount = Math.max(open.sentCount + 1, attempt);
    openOrders.set(order.orderId, { ...open, order, phase, sentCount, lastSentAtMs: nowMs });
    sent.push(order);
  }
  if (sent.length === 0) return { state, effects: [] };
  const effects = sent.map((order) => ({ type: 'order' as const, order }));
  return { state: { ...state, ledger: { ...ledger, openOrders } }, effects };
}
