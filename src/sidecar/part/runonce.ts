import type { Result } from 'ts-results';
import type {
  HandOverReply,
  Refusal,
  RequestHead,
  TicketReply,
  TicketRequest,
  TicketTable,
} from '../../wire/index.js';
import type { Permit } from './permit.js';

/** The run-at-most-once table of this incarnation. */
export interface RunOnce {
  issue(request: TicketRequest): TicketReply;
  /** Decides on a request. For a repeat of a running request it resolves when that request has ended. */
  begin(requestId: string, head: RequestHead): Promise<Result<Permit, Refusal>>;
  /** Called when a planned stop begins. Unused tickets are cancelled: they cannot run anywhere any more. */
  leave(): void;
  /** Called on a planned stop, once nothing is in flight: hands the table over to a peer. */
  stop(): Promise<void>;
  /** Takes over a piece of the table of a stopping peer. */
  adopt(table: TicketTable): HandOverReply;
}
