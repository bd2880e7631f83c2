import type { Ms } from '../../base/index.js';
import { changePins, holdingKeyOf, type Holding, type HoldingKey } from '../ledger/index.js';
import type { Changed } from './changed.js';
import { fail } from './fail.js';
import { superseded } from './superseded.js';
import type { ResidencyFailure } from './residencyfailure.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** Shortest retry-after time while a load or role change is under way. */
const MIN_RETRY_MS: Ms = 1000;

/** Returns the version that serves a model: the document's if it is ready, else any ready one, else any. */
function servingModel(state: ResidencyState, model: string): Holding | undefined {
  const version = state.catalogue?.models.get(model)?.version;
  const { holdings } = state.ledger;
  const current = version && holdings.get(holdingKeyOf(model, version));
  if (current && current.phase === 'ready') return current;
  let found: Holding | undefined;
  for (const holding of holdings.values()) {
    if (holding.model !== model || holding.adapter) continue;
    if (holding.phase === 'ready') return holding;
    found = holding;
  }
  return found;
}

function loadSentAtMs({ ledger }: ResidencyState, model: string, adapter: string): Ms | undefined {
  for (const { order, lastSentAtMs } of ledger.openOrders.values()) {
    const isSame = order.model === model && (order.adapter ?? '') === adapter;
    if (isSame && order.action.startsWith('load')) return lastSentAtMs;
  }
  return undefined;
}

/** Returns the failure for a model that is loading, with the expected remaining time. */
function loadingFailure(
  state: ResidencyState,
  sizeBytes: number,
  sinceMs: Ms,
  nowMs: Ms,
): ResidencyFailure {
  const leftMs = sinceMs + sizeBytes / state.loadBytesPerMs - nowMs;
  const retryAfterMs = Math.max(MIN_RETRY_MS, leftMs);
  return fail('model-loading', 'The model is being loaded on this upstream.', retryAfterMs);
}

function absence(
  state: ResidencyState,
  model: string,
  adapter: string,
  nowMs: Ms,
): ResidencyFailure {
  const sinceMs = loadSentAtMs(state, model, adapter);
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
    return fail('model-unloading', 'The model is being unloaded from this upstream.');
  }
  if (!adapter) return [base.key];
  const key = holdingKeyOf(model, base.version, adapter);
  const isLoading = loadSentAtMs(state, model, adapter) !== undefined;
  if (!state.ledger.holdings.has(key) || isLoading) return absence(state, model, adapter, nowMs);
  return [base.key, key];
}

function removalFailure({ ledger }: ResidencyState): ResidencyFailure {
  for (const { order } of ledger.openOrders.values()) {
    const changesRole = order.role !== undefined && order.role !== ledger.role;
    if (changesRole) return fail('role-changing', 'The engine is changing its role.', MIN_RETRY_MS);
  }
  return fail('model-unloading', 'The model is about to be unloaded here.');
}

/** Pins the model and adapter of a request so that they are not unloaded while it runs; or refuses with the reason. */
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
  if (state.isLeaving) return refuse(fail('upstream-leaving', 'Upstream is draining.'));
  // The successor does not know the pins of this sidecar and may unload what they protect.
  if (state.isSuperseded) return refuse(superseded());
  // An engine without reports decides itself what it can serve.
  if (!state.isManaged || state.ledger.engineId === undefined) {
    return { state, effects: [{ type: 'pinned', keys: [] }] };
  }
  const keys = keysFor(state, model, adapter, nowMs);
  if (!Array.isArray(keys)) return refuse(keys as ResidencyFailure);
  if (keys.some((key: HoldingKey) => rules.isBeingRemoved(state.ledger, key))) {
    return refuse(removalFailure(state));
  }
  const lastUsedAtMs = new Map(state.lastUsedAtMs);
  for (const key of keys as HoldingKey[]) lastUsedAtMs.set(key, nowMs);
  const ledger = changePins(state.ledger, keys, 1);
  return { state: { ...state, ledger, lastUsedAtMs }, effects: [{ type: 'pinned', keys }] };
}
