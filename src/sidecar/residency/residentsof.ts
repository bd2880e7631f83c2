import type { ResidencyState } from '../../core/residency/index.js';
import type { Resident } from '../../wire/index.js';

interface MutableResident extends Resident {
  adapters: string[];
  phase: string;
}

/** Lists all models of the document: an engine that manages its own memory serves each of them. */
function catalogueResidents({ catalogue }: ResidencyState): Resident[] {
  const residents: Resident[] = [];
  for (const [model, { version, sizeBytes }] of catalogue?.models ?? []) {
    const adapters = [...(catalogue?.adapters ?? [])]
      .filter(([, adapter]) => adapter.model === model)
      .map(([id]) => id);
    residents.push({ model, version, sizeBytes, adapters, phase: 'ready' });
  }
  return residents;
}

/** Applies the effect of open orders, which the engine's report does not show yet. */
function applyOpenOrders(
  { ledger }: ResidencyState,
  residents: Map<string, MutableResident>,
): void {
  for (const { order, key } of ledger.openOrders.values()) {
    if (!key) continue;
    const known = residents.get(key);
    if (known && order.action === 'unload-model') known.phase = 'unloading';
    if (known || order.action !== 'load-model') continue;
    const { model = '', version = '', sizeBytes = 0 } = order;
    residents.set(key, { model, version, sizeBytes, adapters: [], phase: 'loading' });
  }
}

/**
 * Returns the models in an upstream's memory as published to other processes: those that the engine reported,
 * with models to be loaded as `loading` and models to be unloaded as `unloading`.
 */
export function residentsOf(state: ResidencyState): Resident[] {
  if (!state.isManaged) return catalogueResidents(state);
  const residents = new Map<string, MutableResident>();
  for (const { key, model, version, sizeBytes, phase, adapter } of state.ledger.holdings.values()) {
    const base = `${model}@${version}`;
    if (adapter) residents.get(base)?.adapters.push(adapter);
    else residents.set(key, { model, version, sizeBytes, adapters: [], phase });
  }
  applyOpenOrders(state, residents);
  return [...residents.values()];
}
