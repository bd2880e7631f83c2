import type { EngineReport } from '../../port/index.js';

/** The planner's desired state of one upstream. */
export interface Plan {
  readonly epoch: number;
  readonly sequence: number;
  readonly models: readonly {
    readonly model: string;
    /** Empty for the document's version. */
    readonly version: string;
    readonly adapters: readonly string[];
    readonly urgency: number;
  }[];
  /** Undefined to keep the present role. */
  readonly role: EngineReport['role'] | undefined;
  /** Models that have to be ready elsewhere first: they stay until a later plan omits them. */
  readonly keepUntilPlaced: readonly string[];
}
