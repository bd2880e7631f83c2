import { connect, type Socket } from 'node:net';
import { benchDocument } from './benchdocument.js';

const EVENT = Buffer.from('data: {');

/** Counts over all readers. */
interface Counts {
  tokens: number;
  bytes: number;
  /** Connection errors and error events. */
  broken: number;
}

/** Requests a stream and counts its events in the raw bytes, which costs less than parsing them. */
export function startReader(port: number, counts: Counts): Socket {
  const body = JSON.stringify({ model: 'notice-1', stream: true, messages: [{ content: 'a' }] });
  const lines = [
    'POST /v1/chat/completions HTTP/1.1',
    'host: entry',
    `authorization: Bearer ${benchDocument.key}`,
    `content-length: ${body.length}`,
  ];
  const socket = connect(port, '127.0.0.1');
  socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  const tally = counts;
  socket.on('data', (chunk: Buffer) => {
    tally.bytes += chunk.length;
    for (let at = chunk.indexOf(EVENT); at >= 0; at = chunk.indexOf(EVENT, at + 1)) {
      tally.tokens += 1;
    }
    if (chunk.includes('event: error')) tally.broken += 1;
  });
  socket.on('error', () => {
    tally.broken += 1;
  });
  return socket;
}
