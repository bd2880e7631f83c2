import type { Transition } from '../../src/base/index.js';
import type { Order } from '../../src/port/index.js';
import type { EngineEffect } from './engineeffect.js';
import type { EngineRequest, EngineResident, EngineState } from './enginestate.js';

type Complete = (state: EngineState, order: Order) => EngineState;

function matches(resident: EngineResident, order: Order): boolean {
  if (resident.model !== order.model) return false;
  return !order.version || resident.version === order.version;
}

function mapResident(
  state: EngineState,
  order: Order,
  change: (resident: EngineResident) => EngineResident,
): EngineState {
  const residents = state.residents.map((other) => (matches(other, order) ? change(other) : other));
  return { ...state, residents };
}

const COMPLETE: Readonly<Record<Order['action'], Complete>> = {
  'load-model': (state, order) =>
    mapResident(state, order, (resident) => ({ ...resident, phase: 'ready' })),
  'unload-model': (state, order) => ({
    ...state,
    residents: state.residents.filter((other) => !matches(other, order)),
  }),
  'load-adapter': (state, order) =>
    mapResident(state, order, (resident) => ({
      ...resident,
      adapters: resident.adapters.map((adapter) =>
        adapter.id === order.adapter ? { ...adapter, phase: 'ready' } : adapter,
      ),
    })),
  'unload-adapter': (state, order) =>
    mapResident(state, order, (resident) => ({
      ...resident,
      adapters: resident.adapters.filter(({ id }) => id !== order.adapter),
    })),
  'set-role': (state, { role = 'mixed' }) => ({ ...state, role }),
};

/** Returns true if the model or adapter that a request names is in memory. */
function isServed(state: EngineState, { model }: EngineRequest): boolean {
  return state.residents.some(
    (resident) => resident.model === model || resident.adapters.some(({ id }) => id === model),
  );
}

/** Completes an order. Cuts the answers of requests whose model or adapter was unloaded. */
export function completeOrder(
  state: EngineState,
  order: Order,
): Transition<EngineState, EngineEffect> {
  const settledOrderIds = [...state.settledOrderIds, order.orderId];
  const ended = { ...COMPLETE[order.action](state, order), settledOrderIds };
  if (!order.action.startsWith('unload')) return { state: ended, effects: [] };
  const requests = new Map(ended.requests);
  const effects: EngineEffect[] = [];
  for (const request of ended.requests.values()) {
    if (isServed(ended, request)) continue;
    requests.delete(request.key);
    effects.push({ type: 'cut', key: request.key });
  }
  return { state: { ...ended, requests }, effects };
}
