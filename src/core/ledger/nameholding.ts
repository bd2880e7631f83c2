import type { HoldingKey } from './holdingkey.js';

/** The key of a model's version, or of an adapter on it. */
export function nameHolding(model: string, version: string, adapter?: string): HoldingKey {
  const base = `${model}@${version}`;
  return (adapter ? `${base}+${adapter}` : base) as HoldingKey;
}
