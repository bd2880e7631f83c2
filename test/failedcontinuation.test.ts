import test from 'ava';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

function engine(id: string, zone: string): PlatformServer {
  const server = new PlatformServer(id, 'engine', zone);
  server.models.set('m1', new Set());
  return server;
}

/** Answers that are no continuation of a stream, by the status and the type of their content. */
const ANSWERS = [
  { status: 500, type: 'text/plain', body: 'failed' },
  { status: 500, type: 'text/plain', body: 'x'.repeat(300_000) },
  { status: 429, type: 'text/plain', body: 'data: not now\n\n' },
  { status: 302, type: 'text/event-stream', body: 'data: moved\n\n' },
  { status: 200, type: 'application/json', body: '{"text":"data"}\n\n' },
] as const;

for (const { status, type, body } of ANSWERS) {
  // Guards against a stream that ends as complete though it was cut: the answer to its continuation is appended to it.
  test(`a broken stream does not go on with ${body.length} bytes of ${status}, ${type}`, async (t) => {
    const rig = new PlatformRig();
    const [first, second] = [engine('e1', 'z1'), engine('e2', 'z2')];
    first.behaviors.push('cut');
    Object.assign(second, {
      stream: ({ headers }: IncomingMessage, response: ServerResponse) => {
        response.writeHead(status, {
          'tarragonstile-request-id': headers['tarragonstile-request-id'],
          'tarragonstile-response-signature': 'by-e2',
          'content-type': type,
        });
        response.end(body);
      },
    });
    await rig.start([first, second]);
    const headers = { 'Tarragonstile-Model': 'm1' };
    const answer = await callEntry(rig.port, { method: 'POST', path: '/batch/1', headers });
    rig.close();
    t.is(second.runs.length, 1);
    t.false(answer.isWhole);
    t.false(answer.body.includes(body), answer.body);
  });
}

// Guards against a failure that is taken for a broken stream, because an earlier answer broke off inside its first event.
test('a failure that follows an answer without a whole event is passed on', async (t) => {
  const rig = new PlatformRig();
  const [first, second] = [engine('e1', 'z1'), engine('e2', 'z2')];
  const headersOf = ({ headers }: IncomingMessage) => ({
    'tarragonstile-request-id': headers['tarragonstile-request-id'],
    'tarragonstile-response-signature': 'sig',
  });
  Object.assign(first, {
    stream: (request: IncomingMessage, response: ServerResponse) => {
      response.writeHead(200, { ...headersOf(request), 'content-type': 'text/event-stream' });
      response.write('id: 1\ndata: part', () => request.socket.resetAndDestroy());
    },
  });
  Object.assign(second, {
    stream: (request: IncomingMessage, response: ServerResponse) => {
      response.writeHead(500, headersOf(request)).end('failed');
    },
  });
  await rig.start([first, second]);
  const headers = { 'Tarragonstile-Model': 'm1' };
  const answer = await callEntry(rig.port, { method: 'POST', path: '/batch/1', headers });
  rig.close();
  t.is(answer.status, 500);
  t.is(answer.body, 'failed');
});
