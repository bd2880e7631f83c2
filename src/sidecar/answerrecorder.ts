import { BodyBuffer } from '../shell/body/index.js';
import type { RequestHead, TicketEntry } from '../wire/index.js';

/** Largest answer body that is recorded for repeats of a request with a ticket. */
const BODY_LIMIT_BYTES = 1_048_576;

/** Least size of a recorded piece, but for the last: their number is bounded by the body and not by the upstream. */
const MIN_PIECE_BYTES = 8192;

/** Records the answer to a request with a ticket, so that a repeat gets the same answer. */
export class AnswerRecorder {
  private status = 0;

  private headers: TicketEntry['headers'] = [];

  private readonly body = new BodyBuffer(BODY_LIMIT_BYTES, undefined);

  /** A recorded piece consists of whole pieces of the answer, so that events are not split. */
  private pieceBytes: number[] = [];

  private openPieceBytes = 0;

  private bodyDropped = false;

  constructor(private readonly head: RequestHead) {}

  start(status: number, headers: TicketEntry['headers']): void {
    this.status = status;
    this.headers = headers;
  }

  data(payload: Buffer): void {
    if (!this.head.ticket || this.bodyDropped) return;
    if (!this.body.add(payload)) {
      this.bodyDropped = true;
      this.body.clear();
      this.pieceBytes = [];
      return;
    }
    this.openPieceBytes += payload.length;
    if (this.openPieceBytes >= MIN_PIECE_BYTES) this.endPiece();
  }

  /** Returns what was recorded and gives it up. */
  answer(): TicketEntry {
    const { bodyDropped } = this;
    if (this.openPieceBytes > 0 && !bodyDropped) this.endPiece();
    return {
      ticket: this.head.ticket,
      customer: this.head.customer,
      phase: 'answered',
      remainingMs: 0,
      status: this.status,
      headers: this.headers,
      body: this.body.take(),
      bodyDropped,
      requestHash: '',
      service: this.head.service,
      pieceBytes: this.pieceBytes,
    };
  }

  private endPiece(): void {
    this.pieceBytes.push(this.openPieceBytes);
    this.openPieceBytes = 0;
  }
}
