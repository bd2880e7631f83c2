import type { Result } from 'ts-results';
import type { Refusal, RequestHead, TicketReply, TicketRequest } from '../../wire/index.js';
import type { Permit } from './permit.js';

/** The run-at-most-once table of this incarnation. */
export interface RunOnce {
  issue(request: TicketRequest): TicketReply;
  /** A repeat of a running request waits here for its answer. */
  begin(requestId: string, head: RequestHead): Promise<Result<Permit, Refusal>>;
  /** Called on a planned stop, once nothing is in flight: hands the table on. */
  stop?(): Promise<void>;
}
