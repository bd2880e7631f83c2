import type { ServiceDocument } from '../../src/core/document/index.js';

/** What requests of one kind look like. */
export interface Traffic {
  readonly kind: string;
  /** Part of the requests towards engines (or plain services) that are of this kind. */
  readonly part: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time that a plain service takes; 0 for engines. */
  readonly serviceMs: number;
}

/** A service with its traffic. */
export interface Deployment {
  readonly name: string;
  readonly document: ServiceDocument;
  readonly traffic: readonly Traffic[];
  /** Part of all requests that the largest customer sends. */
  readonly largestPart: number;
  readonly entries: number;
}
