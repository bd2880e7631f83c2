import type { Curve } from './curve.js';

/** Options of the stand-in engine. Durations are in engine time: see `speed` in FakeEngineOptions. */
export interface EngineOptions {
  readonly curve: Curve;
  /** Tokens of a complete answer, unless the request asks for fewer. */
  readonly tokens: number;
  /** Maximum number of requests in a batch. */
  readonly maxRunning: number;
  /** Memory of all accelerators; if undefined, memory is unlimited and every model counts as loaded. */
  readonly memoryBytes: number | undefined;
  /** Memory that is reserved for the KV cache, even while it is empty. */
  readonly kvCacheBytes: number;
  readonly kvCacheBytesPerToken: number;
  /** Capacity of the prefix cache, in blocks of prompt tokens. */
  readonly cacheBlocks: number;
  /** True if orders with an old fencing token are refused. */
  readonly checksFencing: boolean;
  readonly unloadMs: number;
  readonly roleMs: number;
}
