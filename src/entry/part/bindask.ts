import type { Result } from 'ts-results';
import type { CustomerId, Ms, RequestId, ServiceId, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Choice } from './choice.js';

/** A caller's request as the run-once part has to know it. */
export interface BindAsk {
  readonly requestId: RequestId;
  readonly customer: CustomerId;
  readonly service: ServiceId;
  /** `Tarragonstile-Ticket`, if the caller sent one. */
  readonly ticket: string | undefined;
  /** `Idempotency-Key`, if the caller sent one. */
  readonly idempotencyKey: string | undefined;
  readonly method: string;
  /** Path with its query, as it goes to the upstream. */
  readonly path: string;
  readonly body: Uint8Array;
  /** Longest life of a ticket, from the service document. */
  readonly ticketValidMs: Ms;
  /** Chooses an upstream to ask for a new ticket, other than those tried; called only if one is needed. */
  choose(tried: readonly UpstreamId[]): Promise<Result<Choice, Refusal>>;
}
