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

/** How long a rescued model stays wanted: long enough to be used, short enough for the planner. */
const RESCUE_MS: Ms = 60_000;

const RETRY_MS: Ms = 1000;

interface Ask {
  readonly model: string;
  readonly adapter: string;
  readonly replicas: readonly string[];
}

function whyNoOrders(state: ResidencyState): ResidencyFailure | undefined {
  if (state.isLeaving) return fail('upstream-leaving', 'This upstream leaves.');
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
      'No report or no document has come yet, or the engine manages itself.',
      RETRY_MS,
    );
  }
  return undefined;
}

function isPromised(ledger: Ledger, { key }: DesiredHolding): boolean {
  if (ledger.holdings.has(key)) return true;
  return [...ledger.openOrders.values()].some((open) => open.key === key);
}

function whyNoRoom(
  state: ResidencyState,
  desired: readonly DesiredHolding[],
  nowMs: Ms,
  rules: ResidencyRules,
): ResidencyFailure | undefined {
  const view = viewOf(state, nowMs, rules);
  for (const wanted of desired) {
    if (isPromised(state.ledger, wanted)) continue;
    const { model, version, adapter, sizeBytes } = wanted;
    const action = adapter ? ('load-adapter' as const) : ('load-model' as const);
    const named = { orderId: '', fencingToken: state.incarnation, action };
    const order = { ...named, model, version, adapter, sizeBytes };
    if (fits(state.ledger, order, rules.ledger)) continue;
    if (roomOf(view, wanted).type === 'none') {
      return fail('memory-full', `No room can be made for ${wanted.key}.`);
    }
  }
  return undefined;
}

/** Wants a model that entries found nowhere, if room can be made for it. */
export function onRescue(
  before: ResidencyState,
  { model, adapter, replicas }: Ask,
  nowMs: Ms,
  rules: ResidencyRules,
): Changed {
  const state = { ...before, replicas: new Set(replicas) };
  const adapters = adapter ? [adapter] : [];
  const wish = { model, version: '', adapters, urgency: 0 };
  const desired = state.catalogue ? desiredOf([wish], state.catalogue) : [];
  const rescues = new Map(state.rescues);
  rescues.set(`${model}+${adapter}`, { model, adapters, untilMs: nowMs + RESCUE_MS });
  const failure = whyNoOrders(state) ?? whyNoRoom({ ...state, rescues }, desired, nowMs, rules);
  if (failure) return { state, effects: [{ type: 'refused', failure }] };
  if (desired.length === 0) {
    const unknown = fail('model-absent', `The document here does not offer ${model}.`);
    return { state, effects: [{ type: 'refused', failure: unknown }] };
  }
  const missing = desired.filter(({ key }) => !state.ledger.holdings.has(key));
  const bytes = missing.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  const estimatedReadyMs = Math.ceil(bytes / state.loadBytesPerMs);
  // Asked for counts as used: else what nobody has reached yet would be the first to go again.
  const lastUsedAtMs = new Map(state.lastUsedAtMs);
  for (const { key } of desired) lastUsedAtMs.set(key, nowMs);
  return {
    state: { ...state, rescues, lastUsedAtMs },
    effects: [{ type: 'rescue-accepted', estimatedReadyMs }],
  };
}
