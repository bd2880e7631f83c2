import type { EngineReport } from '../../src/port/index.js';
import type { PrefixCache } from './prefixcache.js';

/** A request that the engine knows. */
export interface EngineRequest {
  /** Assigned by the engine, as the same request may be sent twice. */
  readonly key: number;
  readonly requestId: string;
  readonly model: string;
  readonly priority: number;
  /** Hash of the prompt and all tokens generated so far. */
  readonly textHash: number;
  readonly blocks: readonly number[];
  readonly promptTokens: number;
  /** Number of tokens generated so far. */
  readonly made: number;
  /** Number of tokens of the complete answer. */
  readonly tokens: number;
  /** `kept`: the caller has disconnected, and the answer can be resumed. */
  readonly phase: 'waiting' | 'running' | 'kept' | 'finished';
  /** True if the KV cache was imported from another engine. */
  readonly imported: boolean;
  /** Number of leading tokens whose KV cache was imported from another engine under the same request id. */
  readonly importedTokens?: number;
}

/** A model in memory. */
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

/** Counters of what the engine did. A restart does not reset them. */
export interface EngineCounts {
  readonly overcommits: number;
  /** Loads and unloads of models that were started, without adapters. */
  readonly loads: number;
  readonly unloads: number;
  readonly adapterLoads: number;
  readonly adapterUnloads: number;
  readonly busyMs: number;
  /** Prompt tokens that were prefilled because no cache held them. */
  readonly prefillTokens: number;
  readonly tokens: number;
}

/** State of the stand-in engine. */
export interface EngineState {
  /** Number of restarts so far. */
  readonly restarts: number;
  readonly highestFencingToken: number;
  readonly seenOrderIds: ReadonlySet<string>;
  readonly settledOrderIds: readonly string[];
  readonly residents: readonly EngineResident[];
  readonly role: EngineReport['role'];
  readonly requests: ReadonlyMap<number, EngineRequest>;
  readonly cache: PrefixCache;
  /** When the current step ends; undefined while no request runs. */
  readonly stepEndsAtMs: number | undefined;
  readonly counts: EngineCounts;
}
