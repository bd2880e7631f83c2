import type { Ms } from '../../base/index.js';
import { changePins, nameHolding, type Holding, type HoldingKey } from '../ledger/index.js';
import type { Changed } from './changed.js';
import { fail } from './fail.js';
import { superseded } from './superseded.js';
import type { ResidencyFailure } from './residencyfailure.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** When a refused request may come back while something that takes moments is under way. */
const MOMENT_MS: Ms = 1000;

/** The version that serves a model: the document's if it is ready, else any that is. */
function servingModel(state: ResidencyState, model: string): Holding | undefined {
  const version = state.catalogue?.models.get(model)?.version;
  const { holdings } = state.ledger;
  const current = version && holdings.get(nameHolding(model, version));
  if (current && current.phase === 'ready') return current;
  let found: Holding | undefined;
  for (const holding of holdings.values()) {
    if (holding.model !== model || holding.adapter) continue;
    if (holding.phase === 'ready') return holding;
    found = holding;
  }
  return found;
}

function openLoad({ ledger }: ResidencyState, model: string, adapter: string): Ms | undefined {
  for (const { order, lastSentAtMs } of ledger.openOrders.values()) {
    const isMeant = order.model === model && (order.adapter ?? '') === adapter;
    if (isMeant && order.action.startsWith('load')) return lastSentAtMs;
  }
  return undefined;
}

/** When a load that is under way should be done. */
function loadingFailure(
  state: ResidencyState,
  sizeBytes: number,
  sinceMs: Ms,
  nowMs: Ms,
): ResidencyFailure {
  const leftMs = sinceMs + sizeBytes / state.loadBytesPerMs - nowMs;
  const retryAfterMs = Math.max(MOMENT_MS, leftMs);
  return fail('model-loading', 'The model is being loaded here.', retryAfterMs);
}

function absence(
  state: ResidencyState,
  model: string,
  adapter: string,
  nowMs: Ms,
): ResidencyFailure {
  const sinceMs = openLoad(state, model, adapter);
  const known = adapter
    ? state.catalogue?.adapters.get(adapter)
    : state.catalogue?.models.get(model);
  if (sinceMs !== undefined) return loadingFailure(state, known?.sizeBytes ?? 0, sinceMs, nowMs);
  return fail('model-absent', `${adapter || model} is not in this upstream's memory.`);
}

function keysFor(
  state: ResidencyState,
  model: string,
  adapter: string,
  nowMs: Ms,
): readonly HoldingKey[] | ResidencyFailure {
  const base = servingModel(state, model);
  if (!base) return absence(state, model, '', nowMs);
  if (base.phase === 'loading') return loadingFailure(state, base.sizeBytes, nowMs, nowMs);
  if (base.phase === 'unloading') {
    return fail('model-unloading', 'The model is being unloaded here.');
  }
  if (!adapter) return [base.key];
  const key = nameHolding(model, base.version, adapter);
  const isLoading = openLoad(state, model, adapter) !== undefined;
  if (!state.ledger.holdings.has(key) || isLoading) return absence(state, model, adapter, nowMs);
  return [base.key, key];
}

function markedFailure({ ledger }: ResidencyState): ResidencyFailure {
  for (const { order } of ledger.openOrders.values()) {
    const changesRole = order.role !== undefined && order.role !== ledger.role;
    if (changesRole) return fail('role-changing', 'The engine is changing its role.', MOMENT_MS);
  }
  return fail('model-unloading', 'The model is about to be unloaded here.');
}

/** Pins what a request uses, so that it is not unloaded under it; or says why it cannot. */
export function onPin(
  state: ResidencyState,
  { model, adapter }: { readonly model: string; readonly adapter: string },
  nowMs: Ms,
  rules: ResidencyRules,
): Changed {
  const refuse = (failure: ResidencyFailure): Changed => ({
    state,
    effects: [{ type: 'refused', failure }],
  });
  if (state.isLeaving) return refuse(fail('upstream-leaving', 'This upstream leaves.'));
  // Its successor does not know what this one pins, and may unload it.
  if (state.isSuperseded) return refuse(superseded());
  // An engine that gives no report judges for itself what it can serve.
  if (!state.isManaged || state.ledger.engineId === undefined) {
    return { state, effects: [{ type: 'pinned', keys: [] }] };
  }
  const keys = keysFor(state, model, adapter, nowMs);
  if (!Array.isArray(keys)) return refuse(keys as ResidencyFailure);
  if (keys.some((key: HoldingKey) => rules.isMarked(state.ledger, key))) {
    return refuse(markedFailure(state));
  }
  const lastUsedAtMs = new Map(state.lastUsedAtMs);
  for (const key of keys as HoldingKey[]) lastUsedAtMs.set(key, nowMs);
  const ledger = changePins(state.ledger, keys, 1);
  return { state: { ...state, ledger, lastUsedAtMs }, effects: [{ type: 'pinned', keys }] };
}
