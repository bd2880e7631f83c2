import type { ResidencyState } from '../../core/residency/index.js';
import type { Resident } from '../../wire/index.js';

interface Listed extends Resident {
  adapters: string[];
  phase: string;
}

/** An engine that looks after its own memory serves whatever the document offers. */
function allOf({ catalogue }: ResidencyState): Resident[] {
  const residents: Resident[] = [];
  for (const [model, { version, sizeBytes }] of catalogue?.models ?? []) {
    const adapters = [...(catalogue?.adapters ?? [])]
      .filter(([, adapter]) => adapter.model === model)
      .map(([id]) => id);
    residents.push({ model, version, sizeBytes, adapters, phase: 'ready' });
  }
  return residents;
}

function promised({ ledger }: ResidencyState, residents: Map<string, Listed>): void {
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
 * What others may see in an upstream's memory: the engine's report, with models that are on their way
 * and without those that are about to go.
 */
export function residentsOf(state: ResidencyState): Resident[] {
  if (!state.isManaged) return allOf(state);
  const residents = new Map<string, Listed>();
  for (const { key, model, version, sizeBytes, phase, adapter } of state.ledger.holdings.values()) {
    const base = `${model}@${version}`;
    if (adapter) residents.get(base)?.adapters.push(adapter);
    else residents.set(key, { model, version, sizeBytes, adapters: [], phase });
  }
  promised(state, residents);
  return [...residents.values()];
}
