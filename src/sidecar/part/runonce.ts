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
  /** A repeat of a running request waits here for its answer. */
  begin(requestId: string, head: RequestHead): Promise<Result<Permit, Refusal>>;
  /** A planned stop begins: tickets that were not used can run nowhere any more. */
  leave(): void;
  /** Called on a planned stop, once nothing is in flight: hands the table on. */
  stop(): Promise<void>;
  /** Takes over a table of a peer that stops. */
  adopt(table: TicketTable): HandOverReply;
}
