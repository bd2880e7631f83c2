import type { EngineOptions } from './engineoptions.js';
import type { EngineState } from './enginestate.js';

/** Returns the memory of weights and adapters, and of the KV cache that the running requests need until their end. */
export function usedBytes(
  state: EngineState,
  options: EngineOptions,
): { readonly weightBytes: number; readonly kvBytes: number } {
  let weightBytes = 0;
  for (const resident of state.residents) {
    weightBytes += resident.sizeBytes;
    for (const adapter of resident.adapters) weightBytes += adapter.sizeBytes;
  }
  let tokens = 0;
  for (const request of state.requests.values()) {
    if (request.phase === 'running') tokens += request.promptTokens + request.tokens;
  }
  return { weightBytes, kvBytes: tokens * options.kvCacheBytesPerToken };
}
