import type { EngineReport } from '../../port/index.js';
import type { Holding } from './holding.js';
import type { HoldingKey } from './holdingkey.js';
import { holdingKeyOf } from './holdingkeyof.js';

/** Returns the models and adapters in memory according to a report, by key. */
export function holdingsOf({ residents }: EngineReport): ReadonlyMap<HoldingKey, Holding> {
  const holdings = new Map<HoldingKey, Holding>();
  for (const { model, version, sizeBytes, phase, adapters } of residents) {
    const key = holdingKeyOf(model, version);
    holdings.set(key, { key, model, version, sizeBytes, phase });
    for (const adapter of adapters) {
      const adapterKey = holdingKeyOf(model, version, adapter.id);
      const holding = { model, version, adapter: adapter.id, sizeBytes: adapter.sizeBytes, phase };
      holdings.set(adapterKey, { ...holding, key: adapterKey });
    }
  }
  return holdings;
}
