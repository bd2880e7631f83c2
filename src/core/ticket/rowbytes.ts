import type { TicketRow } from './ticketrow.js';

/** Memory of a row without its answer, as measured by `npm run bench -- once-cost`, rounded up. */
const ROW_BYTES = 640;

/** Memory overhead of a recorded answer, measured in the same way. */
const ANSWER_BYTES = 768;

/** Estimates the memory of a row and its recorded answer. */
export function rowBytes({ answer }: TicketRow): number {
  if (!answer) return ROW_BYTES;
  let sizeBytes = ROW_BYTES + ANSWER_BYTES + answer.body.length;
  for (const { name, value } of answer.headers) sizeBytes += name.length + value.length;
  return sizeBytes;
}
