import type { EngineOptions } from './engineoptions.js';
import type { EngineState } from './enginestate.js';
import { usedBytes } from './usedbytes.js';

/** Returns true if weights and KV cache exceed the memory of the accelerators. */
export function isOvercommitted(state: EngineState, options: EngineOptions): boolean {
  if (options.memoryBytes === undefined) return false;
  const { weightBytes, kvBytes } = usedBytes(state, options);
  return weightBytes + Math.max(kvBytes, options.kvCacheBytes) > options.memoryBytes;
}
