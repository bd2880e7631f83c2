import type { Socket } from 'node:net';
import type { Clock, Ms } from '../../base/index.js';

/** A caller that sends nothing for this long has had the time to read the answer and to close its side. */
const LINGER_MS: Ms = 1000;
/** Bound on how often a caller that still sends is waited for again. */
const MAX_WAITS = 4;

/**
 * Ends the sending side; closes once the caller has ended its side too, or after a bound. The kernel resets a connection
 * that is closed with unread bytes, and the reset overtakes the answer, so the server has to go on reading.
 */
export function linger(socket: Socket, clock: Clock): void {
  if (socket.destroyed) return;
  const close = () => socket.destroy();
  let cancel = () => {};
  const wait = (left: number) => {
    const { bytesRead } = socket;
    cancel = clock.after(LINGER_MS, () => {
      if (left > 1 && socket.bytesRead > bytesRead) wait(left - 1);
      else close();
    });
  };
  wait(MAX_WAITS);
  socket.once('close', () => cancel());
  if (socket.readableEnded) socket.once('finish', close);
  else socket.once('end', close);
  socket.end();
}
