import test from 'ava';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

type Serve = (request: IncomingMessage, response: ServerResponse) => void;

const MODEL = { 'Tarragonstile-Model': 'm1' };
const EVENTS = [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: piece ${id} by v1\n\n`);
const EVENT_STREAM = 'Content-Type: text/event-stream\r\n';

/** Answers with a success whose head ends with these lines, writes a body and closes the connection. */
function raw(lines: string, body = ''): Serve {
  return ({ headers, socket }) => {
    const id = String(headers['tarragonstile-request-id']);
    const head = `HTTP/1.1 200 OK\r\nTarragonstile-Request-Id: ${id}\r\nTarragonstile-Response-Signature: raw\r\n`;
    socket.end(`${head}${lines}\r\n${body}`);
  };
}

/** Answers whose connection ends before any event, by the framing of their heads. */
const EMPTY: Readonly<Record<string, Serve>> = {
  'with neither a length nor chunks': raw(EVENT_STREAM),
  'with neither a length nor chunks, and no type': raw(''),
  'with a length of 0': raw(`${EVENT_STREAM}Content-Length: 0\r\n`),
};
/** Comments are passed on as they come, and are no events. */
const COMMENTS = raw(EVENT_STREAM, ': keep-alive\n\n: keep-alive\n\n');
/** The server says with a last chunk that nothing follows. */
const ENDED = raw(`${EVENT_STREAM}Transfer-Encoding: chunked\r\n`, '0\r\n\r\n');

function engine(id: string, zone: string, serve?: Serve): PlatformServer {
  const server = new PlatformServer(id, 'engine', zone);
  server.models.set('m1', new Set());
  return serve ? Object.assign(server, { stream: serve }) : server;
}

/** Writes the first events of a stream and resets the connection after some more bytes. */
function broken(eventCount: number, more: string): Serve {
  return ({ headers, socket }, response) => {
    response.writeHead(200, {
      'tarragonstile-request-id': headers['tarragonstile-request-id'],
      'tarragonstile-response-signature': 'by-e1',
      'content-type': 'text/event-stream',
    });
    const sent = EVENTS.slice(0, eventCount).join('') + more;
    response.write(sent, () => socket.resetAndDestroy());
  };
}

async function answerOf(
  servers: readonly PlatformServer[],
  path: string,
  headers: Readonly<Record<string, string>> = {},
) {
  const rig = new PlatformRig();
  await rig.start(servers);
  const call = { method: 'POST', path, headers: { ...MODEL, ...headers } };
  const answer = await callEntry(rig.port, call);
  rig.close();
  return answer;
}

for (const [name, serve] of Object.entries({ ...EMPTY, 'with comments alone': COMMENTS })) {
  // Guards against a stream that ends as complete before its last event (ORDER): its continuation holds no event.
  test(`a continuation that ends before any event does not complete a stream: ${name}`, async (t) => {
    const servers = [engine('e1', 'z1', broken(2, '')), engine('e2', 'z2', serve)];
    const { status, body, isWhole } = await answerOf(servers, '/batch/1');
    t.is(status, 200);
    t.is(body.replaceAll(': keep-alive\n\n', ''), EVENTS.slice(0, 2).join(''));
    t.false(isWhole);
  });

  // Guards against a stream that ends as complete before its first event (ORDER).
  test(`a stream that ends before any event is not complete: ${name}`, async (t) => {
    const { status, isWhole } = await answerOf([engine('e1', 'z1', serve)], '/draft/1');
    t.false(status === 200 && isWhole, `${status}`);
  });

  // Guards against a stream that ends as complete although its caller, who takes it up, lacks events (ORDER).
  test(`a stream that is taken up and ends before any event is not complete: ${name}`, async (t) => {
    const servers = [engine('e1', 'z1', serve)];
    const { status, isWhole } = await answerOf(servers, '/batch/1', { 'Last-Event-Id': '2' });
    t.false(status === 200 && isWhole, `${status}`);
  });
}

for (const [name, serve] of Object.entries(EMPTY)) {
  // Guards against an empty answer in place of a stream that another server can run.
  test(`a resumable stream that ends before any event is run at another server: ${name}`, async (t) => {
    const servers = [engine('e1', 'z1', serve), engine('e2', 'z2')];
    const { status, body, isWhole } = await answerOf(servers, '/batch/1');
    t.is(status, 200);
    t.true(isWhole);
    t.is(body, EVENTS.join(''));
  });
}

// Guards against a complete answer without an event: a stream has at least one.
test('a stream that ends with its last chunk before any event is not complete', async (t) => {
  const draft = await answerOf([engine('e1', 'z1', ENDED)], '/draft/1');
  t.false(draft.status === 200 && draft.isWhole);
  const batch = await answerOf([engine('e1', 'z1', ENDED), engine('e2', 'z2')], '/batch/1');
  t.true(batch.isWhole);
  t.is(batch.body, EVENTS.join(''));
});

// Guards against a stream that ends as complete although its first server had begun another event (ORDER).
test('a continuation without an event does not complete a stream that broke inside an event', async (t) => {
  const servers = [engine('e1', 'z1', broken(2, 'id: 3\nda')), engine('e2', 'z2', ENDED)];
  const { body, isWhole } = await answerOf(servers, '/batch/1');
  t.is(body, EVENTS.slice(0, 2).join(''));
  t.false(isWhole);
});

// Guards against a stream that never ends for its caller: only its end was lost, and the continuation has nothing to add.
test('a continuation that ends with its last chunk completes a stream that broke after an event', async (t) => {
  const servers = [engine('e1', 'z1', broken(5, '')), engine('e2', 'z2', ENDED)];
  const { body, isWhole } = await answerOf(servers, '/batch/1');
  t.is(body, EVENTS.join(''));
  t.true(isWhole);
  const takenUp = await answerOf([engine('e1', 'z1', ENDED)], '/batch/1', { 'Last-Event-Id': '5' });
  t.is(takenUp.status, 200);
  t.true(takenUp.isWhole);
  t.is(takenUp.body, '');
});
