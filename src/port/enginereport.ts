import type { AdapterId, Incarnation, ModelId, Ms } from '../base/index.js';

/** The state that an engine reports of itself. It may be older than the engine's actual state. */
export interface EngineReport {
  /** Changes when the engine restarts. Its memory is empty after a restart. */
  readonly engineId: string;
  /** Increases with every report. */
  readonly sequence: number;
  /** Age of the reported state. */
  readonly ageMs: Ms;
  /** Orders that are done or finally refused in the reported state; at least the latest 100. */
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
