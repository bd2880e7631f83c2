import type { EngineReport } from '../../src/port/index.js';
import type { PrefixCache } from './prefixcache.js';

/** One request that the engine knows. */
export interface EngineRequest {
  /** The engine's own number: the same request may be asked twice. */
  readonly key: number;
  readonly requestId: string;
  readonly model: string;
  readonly priority: number;
  /** Hash of prompt and all tokens so far. */
  readonly textHash: number;
  readonly blocks: readonly number[];
  readonly promptTokens: number;
  /** Tokens made so far, and how many make the whole answer. */
  readonly made: number;
  readonly tokens: number;
  /** `kept`: its caller has gone, it can be resumed. */
  readonly phase: 'waiting' | 'running' | 'kept' | 'finished';
  /** True when its KV cache came from another engine. */
  readonly imported: boolean;
  /** Leading tokens whose KV cache came from another engine under the same request id. */
  readonly importedTokens?: number;
}

/** One model in memory. */
export interface EngineResident {
  readonly model: string;
  readonly version: string;
  readonly sizeBytes: number;
  readonly phase: 'loading' | 'ready' | 'unloading';
  readonly adapters: readonly {
    readonly id: string;
    readonly sizeBytes: number;
    readonly phase: 'loading' | 'ready';
  }[];
}

/** What truly happened at the engine: no restart resets it. */
export interface EngineCounts {
  readonly overcommits: number;
  /** Models (not adapters) that began to load, and to unload. */
  readonly loads: number;
  readonly unloads: number;
  readonly adapterLoads: number;
  readonly adapterUnloads: number;
  readonly busyMs: number;
  /** Prompt tokens that had to be prefilled, as no cache held them. */
  readonly prefillTokens: number;
  readonly tokens: number;
}

/** All that the stand-in engine holds. */
export interface EngineState {
  /** Restarts of the engine so far. */
  readonly restarts: number;
  readonly highestFencingToken: number;
  readonly seenOrderIds: ReadonlySet<string>;
  readonly settledOrderIds: readonly string[];
  readonly residents: readonly EngineResident[];
  readonly role: EngineReport['role'];
  readonly requests: ReadonlyMap<number, EngineRequest>;
  readonly cache: PrefixCache;
  /** When the running step ends; undefined while nothing runs. */
  readonly stepEndsAtMs: number | undefined;
  readonly counts: EngineCounts;
}
