import type { HoldingKey } from './holdingkey.js';

/** Returns the key of a model version, or of an adapter on it. */
export function holdingKeyOf(model: string, version: string, adapter?: string): HoldingKey {
  const base = `${model}@${version}`;
  return (adapter ? `${base}+${adapter}` : base) as HoldingKey;
}
