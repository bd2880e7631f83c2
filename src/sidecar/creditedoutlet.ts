import { creditCost, INITIAL_CREDIT, type Batcher } from '../shell/rpc/index.js';
import type { Frame } from '../wire/index.js';
import type { Outlet } from './outlet.js';

/** Sequence number of the frame after the start. */
const FIRST_DATA = 1;

/** Sends an answer as frames, no more data than the entry has granted. */
export class CreditedOutlet implements Outlet {
  readonly gone: AbortSignal;

  private readonly leave = new AbortController();

  private sequence = 0;

  private credit = INITIAL_CREDIT;

  private resume: (() => void) | undefined;

  constructor(
    private readonly requestId: string,
    readonly attempt: number,
    private readonly batcher: Batcher,
  ) {
    this.gone = this.leave.signal;
  }

  send(body: NonNullable<Frame['body']>): void {
    if (this.gone.aborted) return;
    const { requestId, attempt, sequence } = this;
    if (body.$case === 'data') this.credit -= creditCost(body.value.payload);
    // The first token is waited for; those after it may share a batch.
    const urgent = body.$case !== 'data' || sequence <= FIRST_DATA;
    this.batcher.push({ requestId, attempt, sequence, body }, urgent);
    this.sequence += 1;
  }

  ready(): Promise<void> | undefined {
    if (this.credit > 0 || this.gone.aborted) return undefined;
    return new Promise((resolve) => {
      this.resume = resolve;
    });
  }

  grant(credit: number): void {
    this.credit += credit;
    if (this.credit > 0) this.wake();
  }

  /** The caller has left, or the way to it is lost. */
  close(): void {
    this.leave.abort();
    this.wake();
  }

  wake(): void {
    this.resume?.();
    this.resume = undefined;
  }
}
