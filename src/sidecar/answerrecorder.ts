import type { RequestHead, TicketEntry } from '../wire/index.js';

/** Largest answer body that is recorded for repeats of a request with a ticket. */
const BODY_LIMIT_BYTES = 1_048_576;

/** Records the answer to a request with a ticket, so that a repeat gets the same answer. */
export class AnswerRecorder {
  private status = 0;

  private headers: TicketEntry['headers'] = [];

  private readonly body: Buffer[] = [];

  private sizeBytes = 0;

  constructor(private readonly head: RequestHead) {}

  start(status: number, headers: TicketEntry['headers']): void {
    this.status = status;
    this.headers = headers;
  }

  data(payload: Buffer): void {
    if (!this.head.ticket) return;
    this.sizeBytes += payload.length;
    if (this.sizeBytes <= BODY_LIMIT_BYTES) this.body.push(payload);
  }

  answer(): TicketEntry {
    const bodyDropped = this.sizeBytes > BODY_LIMIT_BYTES;
    return {
      ticket: this.head.ticket,
      customer: this.head.customer,
      phase: 'answered',
      remainingMs: 0,
      status: this.status,
      headers: this.headers,
      body: bodyDropped ? Buffer.alloc(0) : Buffer.concat(this.body),
      bodyDropped,
      requestHash: '',
      service: this.head.service,
      pieceBytes: bodyDropped ? [] : this.body.map(({ length }) => length),
    };
  }
}
