import type { Socket } from 'node:net';
import type { Clock, Ms } from '../../base/index.js';

/** How long a caller may take to read the answer and to close its side. */
const LINGER_MS: Ms = 1000;

/**
 * Ends the sending side; closes once the caller has ended its side too, or after a bound. The kernel resets a connection
 * that is closed with unread bytes, and the reset overtakes the answer, so the server has to go on reading.
 */
export function linger(socket: Socket, clock: Clock): void {
  if (socket.destroyed) return;
  const close = () => socket.destroy();
  socket.once('close', clock.after(LINGER_MS, close));
  if (socket.readableEnded) socket.once('finish', close);
  else socket.once('end', close);
  socket.end();
}
