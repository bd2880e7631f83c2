import { connect } from 'node:net';

/** An answer as read from the socket. */
interface RawAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
  /** True if the answer is complete according to its framing. */
  readonly isWhole: boolean;
}

function answerOf(text: string): RawAnswer {
  const at = text.indexOf('\r\n\r\n');
  const head = at < 0 ? text : text.slice(0, at);
  const rest = at < 0 ? '' : text.slice(at + 4);
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  const isChunked = /transfer-encoding: chunked/i.test(head);
  const isEnded = isChunked ? rest.endsWith('0\r\n\r\n') : false;
  const isWhole = isEnded || (length !== undefined && rest.length === Number(length));
  const body = isChunked ? rest.replaceAll(/[0-9a-f]+\r\n([\s\S]*?)\r\n/g, '$1') : rest;
  return { status, head, body, isWhole };
}

/** Sends raw bytes from a loopback address and reads until the connection ends. */
export function sendRaw(
  port: number,
  bytes: string,
  localAddress = '127.0.0.1',
): Promise<RawAnswer> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect({ port, host: '127.0.0.1', localAddress }, () => socket.write(bytes));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(answerOf(text)));
  });
}
