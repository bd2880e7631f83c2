import type { AdapterId, Incarnation, ModelId, Ms } from '../base/index.js';

/** What an engine tells of itself, with a lag. */
export interface EngineReport {
  /** Changes when the engine itself restarts: all its memory is empty then. */
  readonly engineId: string;
  /** Rises with every report. */
  readonly sequence: number;
  /** How old the report's contents are. */
  readonly ageMs: Ms;
  /** Orders that are done, or refused for good, in the reported state; the latest hundred or more. */
  readonly settledOrderIds: readonly string[];
  readonly highestFencingToken: Incarnation;
  readonly usedBytes: number;
  readonly memoryBytes: number;
  readonly residents: readonly {
    readonly model: ModelId;
    readonly version: string;
    readonly sizeBytes: number;
    readonly phase: 'loading' | 'ready' | 'unloading';
    readonly adapters: readonly { readonly id: AdapterId; readonly sizeBytes: number }[];
  }[];
  readonly running: number;
  readonly queued: number;
  readonly leaving: boolean;
  readonly role: 'mixed' | 'prefill' | 'decode';
}
