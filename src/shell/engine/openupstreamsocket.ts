import { errors } from 'undici';
import { AnswerSocket } from '../http1/index.js';

type Connected = (error: Error | null, socket: AnswerSocket | null) => void;

const CONNECT_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_DELAY_MS = 60_000;
const HTTP_PORT = 80;

/** Opens a connection to an upstream without TLS. Calls `done` once, when it is open or cannot be opened. */
export function openUpstreamSocket(
  { hostname, port }: { readonly hostname: string; readonly port: string },
  done: Connected,
): void {
  const socket = new AnswerSocket();
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
  const timer = setTimeout(() => {
    // The code of this error shows that nothing was sent.
    const detail = `No connection within ${CONNECT_TIMEOUT_MS} ms.`;
    socket.destroy(new errors.ConnectTimeoutError(detail));
  }, CONNECT_TIMEOUT_MS);
  const fail = (error: Error) => {
    clearTimeout(timer);
    done(error, null);
  };
  socket.once('error', fail);
  socket.once('connect', () => {
    clearTimeout(timer);
    socket.off('error', fail);
    done(null, socket);
  });
  socket.connect({ host: hostname, port: Number(port || HTTP_PORT) });
}
