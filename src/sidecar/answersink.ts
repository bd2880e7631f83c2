import type { Frame } from '../wire/index.js';

/** Receives the answer to one attempt. */
export interface AnswerSink {
  /** Queues one frame of the answer. Frames are numbered in the order of the calls. */
  send(body: NonNullable<Frame['body']>): void;
  /** Returns undefined if a data frame may be sent at once, else a promise that resolves when one may be sent. */
  ready(): Promise<void> | undefined;
  /** Ends a wait for credit early, so that an abort is handled. */
  wake(): void;
  /** Aborts when nobody waits for the answer any more. */
  readonly gone: AbortSignal;
}
