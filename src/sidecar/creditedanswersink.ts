import { creditCost, INITIAL_CREDIT, type Batcher } from '../shell/rpc/index.js';
import type { Frame } from '../wire/index.js';
import type { AnswerSink } from './answersink.js';

/** Sequence number of the first data frame. */
const FIRST_DATA_SEQUENCE = 1;

/** Sends an answer as frames, with no more data than the entry has granted credit for. */
export class CreditedAnswerSink implements AnswerSink {
  readonly gone: AbortSignal;

  private readonly goneController = new AbortController();

  private sequence = 0;

  private credit = INITIAL_CREDIT;

  private resolveReady: (() => void) | undefined;

  constructor(
    private readonly requestId: string,
    readonly attempt: number,
    private readonly batcher: Batcher,
  ) {
    this.gone = this.goneController.signal;
  }

  send(body: NonNullable<Frame['body']>): void {
    if (this.gone.aborted) return;
    const { requestId, attempt, sequence } = this;
    if (body.$case === 'data') this.credit -= creditCost(body.value.payload);
    // The first token is sent at once for a short time to first token; later ones may share a batch.
    const urgent = body.$case !== 'data' || sequence <= FIRST_DATA_SEQUENCE;
    this.batcher.push({ requestId, attempt, sequence, body }, urgent);
    this.sequence += 1;
  }

  ready(): Promise<void> | undefined {
    if (this.credit > 0 || this.gone.aborted) return undefined;
    return new Promise((resolve) => {
      this.resolveReady = resolve;
    });
  }

  grant(credit: number): void {
    this.credit += credit;
    if (this.credit > 0) this.wake();
  }

  /** Called when the caller has disconnected or the connection to the entry is lost. */
  close(): void {
    this.goneController.abort();
    this.wake();
  }

  wake(): void {
    this.resolveReady?.();
    this.resolveReady = undefined;
  }
}
