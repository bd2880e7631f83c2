import { refuse } from '../core/refusal/index.js';
import { Executed, type TicketEntry } from '../wire/index.js';
import type { Outlet } from './outlet.js';

/** Cuts a recorded body into the pieces that it was first sent in. */
function* piecesOf({ body, pieceBytes }: TicketEntry): Iterable<Buffer> {
  let start = 0;
  for (const sizeBytes of pieceBytes) {
    yield body.subarray(start, start + sizeBytes);
    start += sizeBytes;
  }
}

/** Answers a repeat with what the first run gave, frame by frame. */
export async function replay(answer: TicketEntry, outlet: Outlet): Promise<void> {
  if (answer.bodyDropped) {
    const detail = 'The request ran; its answer is no longer held.';
    const value = refuse('answer-dropped', detail, { executed: Executed.EXECUTED_YES });
    outlet.send({ $case: 'refusal', value });
    return;
  }
  const { status, headers } = answer;
  outlet.send({ $case: 'start', value: { status, headers } });
  for (const payload of piecesOf(answer)) {
    outlet.send({ $case: 'data', value: { payload, tokenCount: 0 } });
    await outlet.ready();
  }
  const dataCount = answer.pieceBytes.length;
  const value = { dataCount, failure: '', load: undefined, resumeToken: '', candidates: [] };
  outlet.send({ $case: 'end', value });
}
