import type { Ms } from '../../base/index.js';
import { desiredOf, type View } from '../reconcile/index.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** Rescued models go before all that a plan wants. */
const RESCUE_URGENCY = Number.MAX_SAFE_INTEGER;

const NOTHING: View['catalogue'] = { models: new Map(), adapters: new Map() };

/** Whether a load may leave now: on an upstream that ignores fences its intent is written first. */
function mayLoad(state: ResidencyState, rules: ResidencyRules): boolean {
  if (state.isLeaving || !rules.mayOrder(state)) return false;
  return state.checksFencing || state.isStoreReachable;
}

/** What the reconciler sees of a state. */
export function viewOf(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): View {
  const { ledger, plan, replicas, lastUsedAtMs, catalogue = NOTHING } = state;
  const rescued = [...state.rescues.values()]
    .filter(({ untilMs }) => untilMs > nowMs)
    .map(({ model, adapters }) => ({ model, version: '', adapters, urgency: RESCUE_URGENCY }));
  const wishes = [...rescued, ...(plan?.models ?? [])];
  const desired = desiredOf(wishes, catalogue);
  return {
    ledger,
    catalogue,
    plan,
    replicas,
    lastUsedAtMs,
    desired,
    mayLoad: mayLoad(state, rules),
    rules: rules.ledger,
  };
}
