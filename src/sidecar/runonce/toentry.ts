import type { RecordedAnswer } from '../../core/ticket/index.js';
import type { RequestHead, TicketEntry } from '../../wire/index.js';

/** A recorded answer as the request path replays it. */
export function toEntry(
  { ticket, customer, service }: RequestHead,
  answer: RecordedAnswer,
): TicketEntry {
  const { status, headers, body, pieceBytes } = answer;
  return {
    ticket,
    customer,
    service,
    phase: 'answered',
    remainingMs: 0,
    status,
    headers: [...headers],
    body,
    bodyDropped: false,
    requestHash: '',
    pieceBytes: [...pieceBytes],
  };
}
