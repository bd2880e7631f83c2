import type { EngineReport } from '../../port/index.js';

/**
 * What the planner wants of one upstream. It needs no list of models to keep: every model stays until
 * another upstream holds it ready.
 */
export interface Plan {
  readonly epoch: number;
  readonly sequence: number;
  readonly models: readonly {
    readonly model: string;
    /** Empty: the version of the document. */
    readonly version: string;
    readonly adapters: readonly string[];
    readonly urgency: number;
  }[];
  /** Undefined keeps the role. */
  readonly role: EngineReport['role'] | undefined;
}
