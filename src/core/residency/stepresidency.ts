import type { Ms } from '../../base/index.js';
import type { Intent } from '../fence/index.js';
import { changePins, inheritOrder, type Ledger } from '../ledger/index.js';
import { nextPhase } from '../order/index.js';
import type { Changed } from './changed.js';
import { onPin } from './onpin.js';
import { onPlan } from './onplan.js';
import { onReport } from './onreport.js';
import { onRescue } from './onrescue.js';
import { issueOrders } from './issueorders.js';
import type { ResidencyEvent } from './residencyevent.js';
import type { ResidencyRules } from './residencyrules.js';
import { defaultResidencyRules } from './defaultresidencyrules.js';
import type { ResidencyState } from './residencystate.js';

type Handler<Type extends ResidencyEvent['type']> = (
  state: ResidencyState,
  event: Extract<ResidencyEvent, { type: Type }>,
  nowMs: Ms,
  rules: ResidencyRules,
) => Changed;

const OUTCOME_EVENTS = {
  accepted: 'accepted',
  unanswered: 'unanswered',
  fenced: 'unanswered',
} as const;

const attemptsOf = (intents: readonly Intent[]) =>
  new Map(intents.map(({ order, attempt }) => [order.orderId, attempt]));

const NO_MODELS: ReadonlySet<string> = new Set();

const plain = (state: ResidencyState): Changed => ({ state, effects: [] });

function answered(
  ledger: Ledger,
  { orderId, outcome }: Extract<ResidencyEvent, { type: 'answered' }>,
): Ledger {
  const open = ledger.openOrders.get(orderId);
  if (!open) return ledger;
  const openOrders = new Map(ledger.openOrders);
  openOrders.set(orderId, { ...open, phase: nextPhase(open.phase, OUTCOME_EVENTS[outcome]) });
  return { ...ledger, openOrders };
}

const HANDLERS: { readonly [Type in ResidencyEvent['type']]: Handler<Type> } = {
  document(state, { catalogue, checksFencing, capacityBytes, kvCacheReserveBytes }) {
    const ledger = { ...state.ledger, capacityBytes, kvCacheReserveBytes };
    const known = { ...state, catalogue, checksFencing, ledger };
    return { state: known, effects: [{ type: 'changed' }] };
  },
  report: onReport,
  taken(state, { incarnation, inherited, poll: takenAtPoll }, nowMs, rules) {
    let { ledger } = state;
    for (const intent of rules.inherit(inherited)) ledger = inheritOrder(ledger, intent, nowMs);
    const recordedAttempts = attemptsOf(inherited);
    const known = { ledger, incarnation, takenAtPoll, recordedAttempts, isStoreReachable: true };
    return { state: { ...state, ...known }, effects: [{ type: 'changed' }] };
  },
  recorded(state, { intents, provenAtMs }) {
    const recordedAttempts = attemptsOf(intents);
    return plain({ ...state, recordedAttempts, provenAtMs, isStoreReachable: true });
  },
  superseded: (state) => plain({ ...state, isSuperseded: true }),
  'store-failing': (state) => plain({ ...state, isStoreReachable: false }),
  answered(state, event) {
    const isSuperseded = state.isSuperseded || event.outcome === 'fenced';
    return plain({ ...state, ledger: answered(state.ledger, event), isSuperseded });
  },
  pin: onPin,
  unpin: (state, { keys }) => plain({ ...state, ledger: changePins(state.ledger, keys, -1) }),
  plan: onPlan,
  rescue: onRescue,
  unreported(state) {
    if (!state.isManaged || state.ledger.engineId !== undefined) return plain(state);
    return { state: { ...state, isManaged: false }, effects: [{ type: 'changed' }] };
  },
  leave: (state) => ({ state: { ...state, isLeaving: true }, effects: [{ type: 'changed' }] }),
  tick(state, _event, nowMs) {
    const live = [...state.rescues].filter(([, { untilMs }]) => untilMs > nowMs);
    // What entries reported about replicas is valid only as long as an on-demand load is.
    const replicas = live.length > 0 ? state.replicas : NO_MODELS;
    if (live.length === state.rescues.size && replicas === state.replicas) return plain(state);
    return plain({ ...state, rescues: new Map(live), replicas });
  },
};

/** True if an event cannot lead to an order: a pin, or an unpin while no order is open. */
function cannotCauseOrders({ ledger }: ResidencyState, { type }: ResidencyEvent): boolean {
  if (type === 'pin') return true;
  return type === 'unpin' && ledger.openOrders.size === 0;
}

/**
 * Decides for one upstream's memory what may be pinned, which orders are issued, and when each may be sent.
 * `rules` are the guards; only the model checker passes other than the production ones.
 */
export function stepResidency(
  state: ResidencyState,
  event: ResidencyEvent,
  nowMs: Ms,
  rules: ResidencyRules = defaultResidencyRules,
): Changed {
  const handle = HANDLERS[event.type] as Handler<ResidencyEvent['type']>;
  const handled = handle(state, event, nowMs, rules);
  if (cannotCauseOrders(handled.state, event)) return handled;
  const issued = issueOrders(handled.state, nowMs, rules);
  return { state: issued.state, effects: [...handled.effects, ...issued.effects] };
}
