import { connect } from 'node:net';

/** An answer as read from the socket. */
interface RawAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
  /** True if the answer is complete according to its framing. */
  readonly isWhole: boolean;
}

/** Reads a chunked body by the sizes of its chunks; the last chunk may be incomplete. */
function readChunks(text: string): { body: string; isEnded: boolean } {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return { body, isEnded: false };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    const start = lineEnd + 2;
    if (size === 0) return { body, isEnded: text.startsWith('\r\n', start) };
    body += text.slice(start, start + size);
    at = start + size + 2;
  }
}

function answerOf(text: string): RawAnswer {
  const at = text.indexOf('\r\n\r\n');
  const head = at < 0 ? text : text.slice(0, at);
  const rest = at < 0 ? '' : text.slice(at + 4);
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  const isChunked = /transfer-encoding: chunked/i.test(head);
  const chunks = isChunked ? readChunks(rest) : undefined;
  const isWhole = chunks?.isEnded ?? (length !== undefined && rest.length === Number(length));
  return { status, head, body: chunks?.body ?? rest, isWhole };
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
