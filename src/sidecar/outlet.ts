import type { Frame } from '../wire/index.js';

/** Where the answer to one attempt goes. */
export interface Outlet {
  /** Queues one part of the answer; parts are numbered in the order of the calls. */
  send(body: NonNullable<Frame['body']>): void;
  /** Undefined when another data frame may be sent at once; else resolves when one may. */
  ready(): Promise<void> | undefined;
  /** Ends a wait for credit, as there is something else to do. */
  wake(): void;
  /** Aborted when nobody waits for the answer any more. */
  readonly gone: AbortSignal;
}
