import type { Ms } from '../../base/index.js';
import { desiredOf, type View } from '../reconcile/index.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** On-demand loads precede all models of the plan. */
const ON_DEMAND_URGENCY = Number.MAX_SAFE_INTEGER;

const NO_MODELS: ReadonlySet<string> = new Set();

const EMPTY_CATALOGUE: View['catalogue'] = { models: new Map(), adapters: new Map() };

/** True if loads may be ordered: for an engine without fencing each intent has to be written to the store first. */
function mayLoad(state: ResidencyState, rules: ResidencyRules): boolean {
  if (state.isLeaving || !rules.mayOrder(state)) return false;
  return state.checksFencing || state.isStoreReachable;
}

/** Returns the models that may be evicted for an on-demand load: those that entries reported as held elsewhere. */
function yieldingOf({ rescues, replicas }: ResidencyState, nowMs: Ms): ReadonlySet<string> {
  const live = [...rescues.values()].filter(({ untilMs }) => untilMs > nowMs);
  if (live.length === 0) return NO_MODELS;
  const onDemand = new Set(live.map(({ model }) => model));
  return new Set([...replicas].filter((model) => !onDemand.has(model)));
}

/** Derives the reconciler's input from a state. */
export function viewOf(state: ResidencyState, nowMs: Ms, rules: ResidencyRules): View {
  const { ledger, plan, replicas, lastUsedAtMs, catalogue = EMPTY_CATALOGUE } = state;
  const onDemand = [...state.rescues.values()]
    .filter(({ untilMs }) => untilMs > nowMs)
    .map(({ model, adapters }) => ({ model, version: '', adapters, urgency: ON_DEMAND_URGENCY }));
  const yielding = yieldingOf(state, nowMs);
  const isHeld = (model: string) =>
    [...ledger.holdings.values()].some((holding) => holding.model === model);
  // A model evicted for an on-demand load is not loaded again while that load is wanted.
  const planned = (plan?.models ?? []).filter(({ model }) => !yielding.has(model) || isHeld(model));
  const requested = [...onDemand, ...planned];
  const desired = desiredOf(requested, catalogue);
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
