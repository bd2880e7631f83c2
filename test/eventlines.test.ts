import test from 'ava';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

const EVENT_COUNT = 6;
const HEADERS = { 'Tarragonstile-Model': 'm1' };

/** Writes one event of a stream by its number. */
type Form = (number: number) => string;

/** Forms of the same events. Each is valid by the HTML standard. */
const FORMS: Readonly<Record<string, Form>> = {
  'an id in the text of its data': (number) =>
    `id: ${number}\ndata: customer id: 4711, event ${number}\n\n`,
  'the id after the data': (number) => `data: event ${number}\nid: ${number}\n\n`,
  'an id without a space': (number) => `id:${number}\ndata:event ${number}\n\n`,
  'lines that end with CR LF': (number) => `id: ${number}\r\ndata: event ${number}\r\n\r\n`,
  'lines that end with CR': (number) => `id: ${number}\rdata: event ${number}\r\r`,
  'a comment that looks like an id': (number) =>
    `: id: 0\nid: ${number}\ndata: event ${number}\n: id: 0\n\n`,
  'comments between events': (number) => `: keep-alive\n\nid: ${number}\ndata: event ${number}\n\n`,
  'several lines of data': (number) =>
    `event: piece\nid: ${number}\ndata: event ${number}\ndata: id: 1\ndata\n\n`,
  'another field first': (number) =>
    `tarragonstile-weight-versions: 1\nid: ${number}\ndata: event ${number}\n\n`,
  'two ids, of which the last counts': (number) =>
    `id: 0\nid: ${number}\ndata: event ${number}\n\n`,
  'an id that holds NUL': (number) => `id: ${number}\nid: 0\0\ndata: event ${number}\n\n`,
};

/** Streams the events after `Last-Event-Id`. Resets the connection after the event `lastNumber`, in the middle of the next one. */
function stream(form: Form, lastNumber = EVENT_COUNT) {
  return ({ headers, socket }: IncomingMessage, response: ServerResponse): void => {
    response.writeHead(200, {
      'tarragonstile-request-id': headers['tarragonstile-request-id'],
      'tarragonstile-response-signature': 'sig',
      'content-type': 'text/event-stream',
    });
    for (
      let number = Number(headers['last-event-id'] ?? 0) + 1;
      number <= lastNumber;
      number += 1
    ) {
      response.write(form(number));
    }
    if (lastNumber === EVENT_COUNT) response.end();
    else response.write('id: 9', () => socket.resetAndDestroy());
  };
}

/** Returns the numbers of the events in a caller's answer, in order. */
function numbersIn(body: string): number[] {
  return [...body.matchAll(/event (\d+)/g)].map(([, number]) => Number(number));
}

async function answerOf(servers: readonly PlatformServer[]) {
  const rig = new PlatformRig();
  await rig.start(servers);
  const answer = await callEntry(rig.port, { method: 'POST', path: '/batch/1', headers: HEADERS });
  rig.close();
  return answer;
}

function engine(id: string, zone: string, serve: ReturnType<typeof stream>): PlatformServer {
  const server = new PlatformServer(id, 'engine', zone);
  server.models.set('m1', new Set());
  return Object.assign(server, { stream: serve });
}

const EACH_ONCE = Array.from({ length: EVENT_COUNT }, (_, at) => at + 1);

for (const [name, form] of Object.entries(FORMS)) {
  // Guards against a stream that is continued from an earlier event, because bytes of events were searched for their ids.
  test(`a broken stream goes on after its last event: ${name}`, async (t) => {
    const first = engine('e1', 'z1', stream(form, 3));
    const second = engine('e2', 'z2', stream(form));
    const { status, body, isWhole } = await answerOf([first, second]);
    t.is(status, 200);
    t.true(isWhole);
    t.deepEqual(numbersIn(body), EACH_ONCE);
    t.is(second.runs[0]?.['last-event-id'], '3');
  });

  // Guards against streams that arrive as empty and complete, because the ends of their events are not found.
  test(`a whole stream is passed on: ${name}`, async (t) => {
    const { status, body, isWhole } = await answerOf([engine('e1', 'z1', stream(form))]);
    t.is(status, 200);
    t.true(isWhole);
    t.is(body, EACH_ONCE.map(form).join(''));
  });
}

// Guards against an event that comes twice, because it has no id and the stream goes on after the one before it.
test('a stream that breaks after an event without an id is cut', async (t) => {
  const form: Form = (number) =>
    number === 3 ? `data: event ${number}\n\n` : `id: ${number}\ndata: event ${number}\n\n`;
  const first = engine('e1', 'z1', stream(form, 3));
  const second = engine('e2', 'z2', stream(form));
  const { body, isWhole } = await answerOf([first, second]);
  t.false(isWhole);
  t.deepEqual(numbersIn(body), [1, 2, 3]);
  t.is(second.runs.length, 0);
});

// Guards against an empty, complete answer in place of one that is no event stream.
test('an answer of a resumable route that is no event stream is passed on', async (t) => {
  const plain = (request: IncomingMessage, response: ServerResponse) => {
    response.writeHead(200, {
      'tarragonstile-request-id': request.headers['tarragonstile-request-id'],
      'tarragonstile-response-signature': 'sig',
      'content-type': 'application/json',
    });
    response.end('{"text":"no events"}');
  };
  const { status, body, isWhole } = await answerOf([engine('e1', 'z1', plain)]);
  t.is(status, 200);
  t.true(isWhole);
  t.true(body.includes('{"text":"no events"}'), body);
});
