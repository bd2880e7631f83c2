import type { Result } from 'ts-results';
import type { Refusal, TicketReply, TicketRequest } from '../../wire/index.js';
import type { BindRequest } from './bindrequest.js';
import type { Binding } from './binding.js';
import type { Choice } from './choice.js';

/**
 * At-most-once execution, as an entry provides it. A request is bound before its first attempt, and a bound request is
 * sent only to the upstream of its binding. Once an attempt of a bound request has ended without an answer or an
 * explicit refusal, a later `executed: no` is not reliable any more: see `finalRefusal`.
 */
export interface Tickets {
  /** Requests a ticket from the sidecar of the chosen upstream (`POST /v1/tickets`). */
  issue(choice: Choice, request: TicketRequest): Promise<Result<TicketReply, Refusal>>;
  /** Finds the upstream that a request is bound to by its ticket or its idempotency key. */
  bind(ask: BindRequest): Promise<Result<Binding, Refusal>>;
  /** Returns the upstream that holds a ticket now: a draining sidecar hands its ticket table to another. */
  locate(ticket: string, service: string): Result<Choice, Refusal>;
  /**
   * Returns the refusal for the caller from those of all attempts, in order. An attempt whose answer was lost counts as
   * a refusal with `EXECUTED_UNKNOWN`.
   */
  finalRefusal(refusals: readonly Refusal[]): Refusal;
}
