import type { Transition } from '../../src/base/index.js';
import type { Order } from '../../src/port/index.js';
import type { EngineEffect } from './engineeffect.js';
import type { EngineOptions } from './engineoptions.js';
import type { EngineResident, EngineState } from './enginestate.js';

type OrderResult = Transition<EngineState, EngineEffect>;
type CountName = 'loads' | 'unloads' | 'adapterLoads' | 'adapterUnloads';
type Accept = (state: EngineState, order: Order, options: EngineOptions) => OrderResult;

function matches(resident: EngineResident, order: Order): boolean {
  if (resident.model !== order.model) return false;
  return !order.version || resident.version === order.version;
}

function settled(state: EngineState, order: Order, effects: readonly EngineEffect[]): OrderResult {
  const settledOrderIds = [...state.settledOrderIds, order.orderId];
  return { state: { ...state, settledOrderIds }, effects };
}

function counted(state: EngineState, name: CountName): EngineState {
  return { ...state, counts: { ...state.counts, [name]: state.counts[name] + 1 } };
}

function refused(state: EngineState, order: Order, reason: string): OrderResult {
  return settled(state, order, [{ type: 'order-refused', reason }]);
}

const ACCEPT: Readonly<Record<Order['action'], Accept>> = {
  'load-model': (state, order) => {
    const { model = '', version = '', sizeBytes = 0 } = order;
    const known = state.residents.some((other) => other.model === model && matches(other, order));
    if (known) return settled(state, order, [{ type: 'order-taken' }]);
    const resident = { model, version, sizeBytes, phase: 'loading' as const, adapters: [] };
    return {
      state: { ...counted(state, 'loads'), residents: [...state.residents, resident] },
      effects: [{ type: 'order-taken' }, { type: 'load', order, sizeBytes }],
    };
  },
  'unload-model': (state, order, options) => {
    const known = state.residents.find((other) => matches(other, order));
    if (!known) return settled(state, order, [{ type: 'order-taken' }]);
    const residents = state.residents.map((other) =>
      other === known ? { ...other, phase: 'unloading' as const } : other,
    );
    const change: EngineEffect = { type: 'change', order, afterMs: options.unloadMs };
    return {
      state: { ...counted(state, 'unloads'), residents },
      effects: [{ type: 'order-taken' }, change],
    };
  },
  'load-adapter': (state, order) => {
    const { adapter = '', sizeBytes = 0 } = order;
    const base = state.residents.find(
      (other) => matches(other, order) && other.phase !== 'unloading',
    );
    if (!base) return refused(state, order, 'The base model is not loaded.');
    if (base.adapters.some(({ id }) => id === adapter)) {
      return settled(state, order, [{ type: 'order-taken' }]);
    }
    const added = { id: adapter as string, sizeBytes, phase: 'loading' as const };
    const residents = state.residents.map((other) =>
      other === base ? { ...other, adapters: [...other.adapters, added] } : other,
    );
    return {
      state: { ...counted(state, 'adapterLoads'), residents },
      effects: [{ type: 'order-taken' }, { type: 'load', order, sizeBytes }],
    };
  },
  'unload-adapter': (state, order, options) => ({
    state: counted(state, 'adapterUnloads'),
    effects: [{ type: 'order-taken' }, { type: 'change', order, afterMs: options.unloadMs }],
  }),
  'set-role': (state, order, options) => ({
    state,
    effects: [{ type: 'order-taken' }, { type: 'change', order, afterMs: options.roleMs }],
  }),
};

/** Accepts an order once per order id. Refuses an old fencing token if the engine checks it. */
export function acceptOrder(state: EngineState, order: Order, options: EngineOptions): OrderResult {
  if (options.checksFencing && order.fencingToken < state.highestFencingToken) {
    return { state, effects: [{ type: 'order-fenced' }] };
  }
  if (state.seenOrderIds.has(order.orderId)) return { state, effects: [{ type: 'order-taken' }] };
  const seen = {
    ...state,
    highestFencingToken: Math.max(state.highestFencingToken, order.fencingToken),
    seenOrderIds: new Set([...state.seenOrderIds, order.orderId]),
  };
  return ACCEPT[order.action](seen, order, options);
}
