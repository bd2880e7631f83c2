import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Ms } from '../../base/index.js';

/** How long a caller may take to read the answer and to close its side. */
const LINGER_MS: Ms = 1000;

/** Ends the sending side; closes once the caller has ended its side too, or after a bound. */
function linger(socket: Socket, clock: Clock): void {
  if (socket.destroyed) return;
  const close = () => socket.destroy();
  socket.once('close', clock.after(LINGER_MS, close));
  if (socket.readableEnded) socket.once('finish', close);
  else socket.once('end', close);
  socket.end();
}

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
