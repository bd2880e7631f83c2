import type { Result } from 'ts-results';
import type { Refusal, TicketReply, TicketRequest } from '../../wire/index.js';
import type { BindAsk } from './bindask.js';
import type { Binding } from './binding.js';
import type { Choice } from './choice.js';

/**
 * Run at most once, as an entry sees it. The request path binds a request before its first attempt;
 * a bound one is sent only where its binding says. Where attempts of a bound request ended without
 * an answer or an explicit refusal, a later `executed: no` is no longer known: see `conclude`.
 */
export interface Tickets {
  /** Asks the chosen upstream's sidecar for a ticket (`POST /v1/tickets`). */
  issue(choice: Choice, request: TicketRequest): Promise<Result<TicketReply, Refusal>>;
  /** Finds where a request has to go, by its ticket or its key. */
  bind(ask: BindAsk): Promise<Result<Binding, Refusal>>;
  /** Where a ticket's request has to go now; it moves when a sidecar stops as planned. */
  locate(ticket: string, service: string): Result<Choice, Refusal>;
  /**
   * The refusal that the caller is told, from those of all attempts in order. An attempt that broke
   * is given as a refusal with `EXECUTED_UNKNOWN`.
   */
  conclude(refusals: readonly Refusal[]): Refusal;
}
