import type { Socket } from 'node:net';
import type { Endless } from './endless.js';

const BATCH_BYTES = 65_536;

/** Writes an answer without end as fast as its connection takes it, until that closes. */
export function sendEndless(
  socket: Socket,
  { status, requestId, fields, piece, times = Infinity }: Endless,
  headers: Readonly<Record<string, string>>,
): void {
  const sent =
    requestId === undefined ? headers : { ...headers, 'tarragonstile-request-id': requestId };
  const own = Object.entries(sent).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = status === undefined ? '' : `HTTP/1.1 ${status}\r\n${own.join('')}`;
  socket.write(`${head}${fields}`);
  const perBatch = Math.max(1, Math.floor(BATCH_BYTES / piece.length));
  const batch = Buffer.from(piece.repeat(Math.min(perBatch, times)));
  let left = times;
  const write = () => {
    while (left > 0 && socket.writable) {
      const count = Math.min(left, perBatch);
      left -= count;
      if (!socket.write(batch.subarray(0, count * piece.length))) return;
    }
  };
  socket.on('drain', write);
  write();
}
