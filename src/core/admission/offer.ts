import type { Ms } from '../../base/index.js';

/** A request that asks for a place at the upstream. */
export interface Offer {
  /** Unique among the requests that this upstream has not finished. */
  readonly requestId: string;
  readonly customer: string;
  readonly kind: string;
  /** Empty before a plain service. */
  readonly model: string;
  readonly promptTokens: number;
  /** Longest answer that the caller allows; 0 if it named none. */
  readonly maxTokens: number;
  /** Time left until the first token (engines) or the whole answer (plain services) is due. */
  readonly remainingMs: Ms;
  /** True when a part of the answer has been sent already: it is not refused any more. */
  readonly resumed: boolean;
}
