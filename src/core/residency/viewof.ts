import type { Ms } from '../../base/index.js';
import { desiredOf, type View } from '../reconcile/index.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** Rescued models go before all that a plan wants. */
const RESCUE_URGENCY = Number.MAX_SAFE_INTEGER;

const NOBODY: ReadonlySet<string> = new Set();

const NOTHING: View['catalogue'] = { models: new Map(), adapters: new Map() };

/** Whether a load may leave now: on an upstream that ignores fences its intent is written first. */
function mayLoad(state: ResidencyState, rules: ResidencyRules): boolean {
  if (state.isLeaving || !rules.mayOrder(state)) return false;
  return state.checksFencing || state.isStoreReachable;
}

/** While a rescue goes on, what entries have named makes room for it. */
function yieldingOf({ rescues, replicas }: ResidencyState, nowMs: Ms): ReadonlySet<string> {
  const live = [...rescues.values()].filter(({ untilMs }) => untilMs > nowMs);
  if (live.length === 0) return NOBODY;
  const rescued = new Set(live.map(({ model }) => model));
  return new Set([...replicas].filter((model) => !rescued.has(model)));
}

/** What the reconciler sees of a state. */
export function viewOf(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): View {
  const { ledger, plan, replicas, lastUsedAtMs, catalogue = NOTHING } = state;
  const rescued = [...state.rescues.values()]
    .filter(({ untilMs }) => untilMs > nowMs)
    .map(({ model, adapters }) => ({ model, version: '', adapters, urgency: RESCUE_URGENCY }));
  const yielding = yieldingOf(state, nowMs);
  const isHeld = (model: string) =>
    [...ledger.holdings.values()].some((holding) => holding.model === model);
  // What has made room is not loaded again before the rescue is over.
  const planned = (plan?.models ?? []).filter(({ model }) => !yielding.has(model) || isHeld(model));
  const wishes = [...rescued, ...planned];
  const desired = desiredOf(wishes, catalogue);
  return {
    ledger,
    catalogue,
    plan,
    replicas,
    yielding,
    lastUsedAtMs,
    desired,
    mayLoad: mayLoad(state, rules),
    rules: rules.ledger,
  };
}
