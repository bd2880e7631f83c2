import type { Ms } from '../../base/index.js';

/** A request that asks to run at the upstream. */
export interface Offer {
  /** Unique among the requests that this upstream has not finished. */
  readonly requestId: string;
  readonly customer: string;
  readonly kind: string;
  /** Empty for a plain service. */
  readonly model: string;
  readonly promptTokens: number;
  /** Longest answer that the caller allows, in tokens; 0 if not limited. */
  readonly maxTokens: number;
  /** Time left until the first token (engines) or the whole answer (plain services) is due. */
  readonly remainingMs: Ms;
  /** True if part of the answer has been sent already; such a request is no longer refused. */
  readonly resumed: boolean;
}
