import type { ServiceDocument } from '../../src/core/document/index.js';

/** Traffic of one request kind. */
export interface Traffic {
  readonly kind: string;
  /** Fraction of the requests to engines, or to plain services, that are of this kind. */
  readonly fraction: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Service time at a plain service; 0 for engines. */
  readonly serviceMs: number;
}

/** A service document and the traffic that the service receives. */
export interface Deployment {
  readonly name: string;
  readonly document: ServiceDocument;
  readonly traffic: readonly Traffic[];
  /** Fraction of all requests that come from the largest customer. */
  readonly largestFraction: number;
  readonly entries: number;
}
