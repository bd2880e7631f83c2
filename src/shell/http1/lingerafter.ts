import type { ServerResponse } from 'node:http';
import type { Clock } from '../../base/index.js';
import { linger } from './linger.js';

/**
 * Makes the server close a connection after this answer without a reset. The kernel resets a connection that is closed
 * with unread bytes, and a caller that still writes then fails before it has read the answer. The server goes on reading:
 * requests that it still reads have a socket that is not writable and are to be ignored.
 */
export function lingerAfter({ req }: ServerResponse, clock: Clock): void {
  const { socket } = req;
  // Node's server calls this method after an answer with `Connection: close`.
  Object.assign(socket, { destroySoon: () => linger(socket, clock) });
}
