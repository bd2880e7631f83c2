import type { Endless } from './endless.js';

const OK = '200 OK';
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const EVENTS = 'Content-Type: text/event-stream\r\n';
const ONE_BYTE = '1\r\nx\r\n';
const MIB = 1_048_576;

function chunk(bytes: string): string {
  return `${bytes.length.toString(16)}\r\n${bytes}\r\n`;
}

/** A head, and after it a body in chunks. */
function chunks(piece: string, status = OK): Endless {
  return { status, fields: CHUNKED, piece };
}

/** A stream of events in chunks. */
function events(piece: string): Endless {
  return { status: OK, fields: `${EVENTS}${CHUNKED}`, piece };
}

/** What a faulty server may send without end, by name. */
export const endlessKinds = {
  'chunks of one byte': chunks(ONE_BYTE),
  'chunks of one byte that stop': { ...chunks(ONE_BYTE), times: 1.5 * MIB },
  'chunks of one byte of another answer': { ...chunks(ONE_BYTE), requestId: 'another' },
  'a failure in chunks of one byte': chunks(ONE_BYTE, '500 Internal Server Error'),
  'a refusal in chunks of one byte': chunks(ONE_BYTE, '503 Service Unavailable'),
  'chunks of 4 KiB that stop': { ...chunks(chunk('x'.repeat(4096))), times: 65 },
  'a held answer that stops': { ...chunks(chunk('x'.repeat(4096))), times: 63 },
  'a held failure that stops': {
    ...chunks(chunk('x'.repeat(4096)), '500 Internal Server Error'),
    times: 63,
  },
  'an event that stops': { ...events(chunk('data: '.repeat(200))), times: 215 },
  'chunks of 64 KiB': chunks(chunk('x'.repeat(65_536))),
  'a body without a length': { status: OK, fields: '\r\n', piece: 'x'.repeat(1024) },
  'events in chunks of one byte': events(
    [...'data: x\n\n'].map((character) => chunk(character)).join(''),
  ),
  'one event in chunks of one byte': events(ONE_BYTE),
  'one event': events(chunk('data: '.repeat(200))),
  'small events': events(chunk('data: x\n\n')),
  comments: events(chunk(':\n')),
  'blank lines': events(chunk('\n')),
  'a status line': { fields: 'HTTP/1.1 200 ', piece: 'x' },
  'header fields': { status: OK, fields: '', piece: 'A: b\r\n' },
  'header fields that stop': { status: OK, fields: '', piece: 'A: b\r\n', times: 2500 },
  'interim responses': { fields: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n' },
  'a chunk extension': { status: OK, fields: `${CHUNKED}1;`, piece: 'x' },
  'a trailer': { status: OK, fields: `${CHUNKED}${ONE_BYTE}0\r\n`, piece: 'A: b\r\n' },
  'further answers': {
    status: OK,
    fields: 'Content-Length: 2\r\n\r\nok',
    piece: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
  },
} as const satisfies Readonly<Record<string, Endless>>;
