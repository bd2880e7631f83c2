import type { Dispatcher } from 'undici';

/** Discards an answer and aborts its request. */
export function discard({ body }: Dispatcher.ResponseData): void {
  // Destroying the body emits an error event, which would be uncaught without a listener.
  body.on('error', () => {});
  body.destroy();
}
