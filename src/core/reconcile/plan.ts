import type { EngineReport } from '../../port/index.js';

/** What the planner wants of one upstream. */
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
  /** Models that the plan wants elsewhere first: they stay until a later plan leaves them out. */
  readonly keepUntilPlaced: readonly string[];
}
