import type { Curve } from './curve.js';

/** How the stand-in engine behaves. Times are the engine's own: see `speed` of the fake engine. */
export interface EngineOptions {
  readonly curve: Curve;
  /** Tokens of a whole answer, unless the request asks for fewer. */
  readonly tokens: number;
  /** Requests in one batch at most. */
  readonly maxRunning: number;
  /** Memory of all accelerators; undefined: memory is not looked at and every model is resident. */
  readonly memoryBytes: number | undefined;
  /** Memory that the KV cache takes even when it is empty. */
  readonly kvCacheBytes: number;
  readonly kvCacheBytesPerToken: number;
  /** Blocks of prompt tokens that the prefix cache holds. */
  readonly cacheBlocks: number;
  /** Whether an order with an old fencing token is refused. */
  readonly checksFencing: boolean;
  readonly unloadMs: number;
  readonly roleMs: number;
}
