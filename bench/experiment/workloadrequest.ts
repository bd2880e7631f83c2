import type { Kind } from '../../src/core/document/index.js';

/** One request of a workload. `outputTokens` is known only to the engine that runs it. */
export interface WorkloadRequest {
  readonly requestId: string;
  readonly atMs: number;
  readonly customer: string;
  readonly kind: Kind;
  /** Empty for a plain service. */
  readonly model: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Identifies the leading part of the prompt that other requests share. */
  readonly prefix: string;
  readonly prefixTokens: number;
  /** Service time at a plain service; 0 for engines. */
  readonly serviceMs: number;
}
