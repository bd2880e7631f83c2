import { refuse } from '../core/refusal/index.js';
import { Executed, type TicketEntry } from '../wire/index.js';
import type { AnswerSink } from './answersink.js';

/** Splits a recorded body into the pieces in which it is sent. */
function* piecesOf({ body, pieceBytes }: TicketEntry): Iterable<Buffer> {
  let start = 0;
  for (const sizeBytes of pieceBytes) {
    yield body.subarray(start, start + sizeBytes);
    start += sizeBytes;
  }
}

/** Answers a repeat with the recorded answer of the first run, frame by frame. */
export async function replay(answer: TicketEntry, sink: AnswerSink): Promise<void> {
  if (answer.bodyDropped) {
    const detail = 'The request ran, but its answer is no longer stored.';
    const value = refuse('answer-dropped', detail, { executed: Executed.EXECUTED_YES });
    sink.send({ $case: 'refusal', value });
    return;
  }
  const { status, headers } = answer;
  sink.send({ $case: 'start', value: { status, headers } });
  for (const payload of piecesOf(answer)) {
    sink.send({ $case: 'data', value: { payload, tokenCount: 0 } });
    await sink.ready();
  }
  const dataCount = answer.pieceBytes.length;
  const value = { dataCount, failure: '', load: undefined, resumeToken: '', candidates: [] };
  sink.send({ $case: 'end', value });
}
