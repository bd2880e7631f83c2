import type { Result } from 'ts-results';
import type { CustomerId, Ms, RequestId, ServiceId, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Choice } from './choice.js';

/** A caller's request, as required to bind it to a ticket. */
export interface BindRequest {
  readonly requestId: RequestId;
  readonly customer: CustomerId;
  readonly service: ServiceId;
  /** `Tarragonstile-Ticket`, if the caller sent one. */
  readonly ticket: string | undefined;
  /** `Idempotency-Key`, if the caller sent one. */
  readonly idempotencyKey: string | undefined;
  readonly method: string;
  /** Path and query, as sent to the upstream. */
  readonly path: string;
  readonly body: Uint8Array;
  /** Maximum lifetime of a ticket, from the service document. */
  readonly ticketValidMs: Ms;
  /** Chooses an upstream, not in `tried`, to issue a new ticket; called only if a new ticket is required. */
  choose(tried: readonly UpstreamId[]): Promise<Result<Choice, Refusal>>;
}
