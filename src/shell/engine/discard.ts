import type { Dispatcher } from 'undici';

/** Gives up an answer that is not wanted; its request is aborted. */
export function discard({ body }: Dispatcher.ResponseData): void {
  // The body tells of its own destruction as an error, which nobody else listens for.
  body.on('error', () => {});
  body.destroy();
}
