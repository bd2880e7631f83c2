import type { RecordedAnswer } from '../../core/ticket/index.js';
import type { RequestHead, TicketEntry } from '../../wire/index.js';

/** Converts a recorded answer into the form that the request path replays. */
export function toTicketEntry(
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
