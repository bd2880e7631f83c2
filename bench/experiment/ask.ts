import type { Kind } from '../../src/core/document/index.js';

/** One request of a workload, with what only its engine will find out (`outputTokens`). */
export interface Ask {
  readonly requestId: string;
  readonly atMs: number;
  readonly customer: string;
  readonly kind: Kind;
  /** Empty for a plain service. */
  readonly model: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Names the leading part of the prompt that other requests share. */
  readonly prefix: string;
  readonly prefixTokens: number;
  /** Time that a plain service takes; 0 for engines. */
  readonly serviceMs: number;
}
