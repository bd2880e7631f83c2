import type { Ms } from '../../base/index.js';
import { desiredOf, roomOf, type DesiredHolding } from '../reconcile/index.js';
import { fits, type Ledger } from '../ledger/index.js';
import type { Changed } from './changed.js';
import { fail } from './fail.js';
import type { ResidencyFailure } from './residencyfailure.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';
import { superseded } from './superseded.js';
import { viewOf } from './viewof.js';

/** How long a model loaded on demand stays wanted: long enough to be used, short enough to defer to the planner. */
const RESCUE_MS: Ms = 60_000;

const RETRY_MS: Ms = 1000;

interface OnDemandLoad {
  readonly model: string;
  readonly adapter: string;
  readonly replicas: readonly string[];
}

function orderingFailure(state: ResidencyState): ResidencyFailure | undefined {
  if (state.isLeaving) return fail('upstream-leaving', 'Upstream is draining.');
  if (state.isSuperseded) {
    return superseded();
  }
  if (state.incarnation === 0) {
    return fail('incarnation-pending', 'The store has given no incarnation yet.', RETRY_MS);
  }
  if (!state.checksFencing && !state.isStoreReachable) {
    const detail = 'This engine ignores fences: no load while the store is down.';
    return fail('store-unavailable', detail, RETRY_MS);
  }
  if (state.ledger.engineId === undefined || !state.catalogue || !state.isManaged) {
    return fail(
      'memory-unknown',
      'No engine report or document has arrived yet, or the engine manages its memory itself.',
      RETRY_MS,
    );
  }
  return undefined;
}

function isPresentOrOrdered(ledger: Ledger, { key }: DesiredHolding): boolean {
  if (ledger.holdings.has(key)) return true;
  return [...ledger.openOrders.values()].some((open) => open.key === key);
}

function roomFailure(
  state: ResidencyState,
  desired: readonly DesiredHolding[],
  nowMs: Ms,
  rules: ResidencyRules,
): ResidencyFailure | undefined {
  const view = viewOf(state, nowMs, rules);
  for (const wanted of desired) {
    if (isPresentOrOrdered(state.ledger, wanted)) continue;
    const { model, version, adapter, sizeBytes } = wanted;
    const action = adapter ? ('load-adapter' as const) : ('load-model' as const);
    const named = { orderId: '', fencingToken: state.incarnation, action };
    const order = { ...named, model, version, adapter, sizeBytes };
    if (fits(state.ledger, order, rules.ledger)) continue;
    if (roomOf(view, wanted).type === 'none') {
      return fail('memory-full', `Not enough memory can be freed for ${wanted.key}.`);
    }
  }
  return undefined;
}

/** Accepts an on-demand load of a model that entries found on no upstream. Refuses it if no room can be made. */
export function onRescue(
  before: ResidencyState,
  { model, adapter, replicas }: OnDemandLoad,
  nowMs: Ms,
  rules: ResidencyRules,
): Changed {
  const state = { ...before, replicas: new Set(replicas) };
  const adapters = adapter ? [adapter] : [];
  const planned = { model, version: '', adapters, urgency: 0 };
  const desired = state.catalogue ? desiredOf([planned], state.catalogue) : [];
  const rescues = new Map(state.rescues);
  rescues.set(`${model}+${adapter}`, { model, adapters, untilMs: nowMs + RESCUE_MS });
  const failure =
    orderingFailure(state) ?? roomFailure({ ...state, rescues }, desired, nowMs, rules);
  if (failure) return { state, effects: [{ type: 'refused', failure }] };
  if (desired.length === 0) {
    const unknown = fail('model-absent', `The document does not list ${model}.`);
    return { state, effects: [{ type: 'refused', failure: unknown }] };
  }
  const missing = desired.filter(({ key }) => !state.ledger.holdings.has(key));
  const bytes = missing.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  const estimatedReadyMs = Math.ceil(bytes / state.loadBytesPerMs);
  // The model counts as used: otherwise it would be the first to be evicted, before its first request arrives.
  const lastUsedAtMs = new Map(state.lastUsedAtMs);
  for (const { key } of desired) lastUsedAtMs.set(key, nowMs);
  return {
    state: { ...state, rescues, lastUsedAtMs },
    effects: [{ type: 'rescue-accepted', estimatedReadyMs }],
  };
}
