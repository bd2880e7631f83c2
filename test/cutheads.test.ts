import test, { type ExecutionContext } from 'ava';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

type Serve = (request: IncomingMessage, response: ServerResponse) => void;
type Close = (socket: Socket) => void;

const MODEL = { 'Tarragonstile-Model': 'm1' };
/** Each place needs a rig of its own; the places of heads are all tried above. */
const CONTINUATION_STEP = 11;
const BODY = 'the whole answer';
const CLOSES: Readonly<Record<string, Close>> = {
  end: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};
/** How the heads frame their bodies. */
const FRAMINGS: Readonly<Record<string, string>> = {
  length: `Content-Length: ${BODY.length}\r\n`,
  chunks: 'Transfer-Encoding: chunked\r\n',
  none: '',
};

function headOf({ headers }: IncomingMessage, framing: string, status = '200 OK'): string {
  const id = String(headers['tarragonstile-request-id']);
  return `HTTP/1.1 ${status}\r\nTarragonstile-Request-Id: ${id}\r\n${framing}Tarragonstile-Response-Signature: raw\r\n\r\n`;
}

/** Answers with a head that is cut so many bytes before its end. */
function cut(framing: string, missingBytes: number, close: Close): Serve {
  return (request) => {
    const head = headOf(request, framing);
    request.socket.write(head.slice(0, head.length - missingBytes), () => close(request.socket));
  };
}

const HEAD_LENGTH = headOf(
  { headers: { 'tarragonstile-request-id': 'request-1' } } as never,
  '',
).length;

/** Runs plain servers whose answers a test sets by `serve`, and an entry. */
async function startPlain(t: ExecutionContext) {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  const server = new PlatformServer('p1', 'plain');
  const state: { serve: Serve | undefined } = { serve: undefined };
  const usual = (server as unknown as { plain: (...values: unknown[]) => void }).plain.bind(server);
  Object.assign(server, {
    plain: (request: IncomingMessage, response: ServerResponse, behavior: string) => {
      const { serve } = state;
      state.serve = undefined;
      if (serve) serve(request, response);
      else usual(request, response, behavior);
    },
  });
  await rig.start([server]);
  return { rig, state };
}

for (const [framing, line] of Object.entries(FRAMINGS)) {
  for (const [closeName, close] of Object.entries(CLOSES)) {
    // Guards against an empty or short answer that is framed as whole (MIXED): the server stopped inside its head.
    test(`an answer whose head is cut at any byte is not passed on: ${framing}, ${closeName}`, async (t) => {
      const { rig, state } = await startPlain(t);
      for (let missing = 0; missing < HEAD_LENGTH + line.length; missing += 1) {
        // The request before this one leaves a used connection, and the one before that was cut.
        t.is((await callEntry(rig.port, { path: '/lookup/1' })).status, 200);
        state.serve = cut(line, missing, close);
        const { status, isWhole } = await callEntry(rig.port, {
          method: 'POST',
          path: '/charge/1',
        });
        t.is(status, 502, `${missing} bytes missing`);
        t.true(isWhole);
      }
    });
  }
}

// Guards against the refusal of an answer that has no body by its kind, or whose head says that it is empty.
test('an answer that is empty by its kind is whole', async (t) => {
  const { rig, state } = await startPlain(t);
  const whole: readonly (readonly [method: string, framing: string, status: string])[] = [
    ['HEAD', '', '200 OK'],
    ['POST', '', '204 No Content'],
    ['POST', 'Content-Length: 0\r\n', '200 OK'],
    ['POST', '', '500 Failed'],
  ];
  for (const [method, framing, status] of whole) {
    state.serve = (request) => request.socket.end(headOf(request, framing, status));
    const answer = await callEntry(rig.port, { method, path: '/charge/1' });
    t.is(answer.status, Number.parseInt(status, 10), `${method} ${status}`);
  }
});

for (const [closeName, close] of Object.entries(CLOSES)) {
  // Guards against a stream that ends as complete before its last event (ORDER): the head of its continuation is cut.
  test(`a stream whose continuation has a head that is cut at any byte is not complete: ${closeName}`, async (t) => {
    const line = 'Content-Type: text/event-stream\r\n';
    for (let missing = 0; missing < HEAD_LENGTH + line.length; missing += CONTINUATION_STEP) {
      const rig = new PlatformRig();
      const [first, second] = ['z1', 'z2'].map(
        (zone) => new PlatformServer(`e-${zone}`, 'engine', zone),
      );
      for (const server of [first!, second!]) server.models.set('m1', new Set());
      first!.behaviors.push('cut');
      Object.assign(second!, { stream: cut(line, missing, close) });
      await rig.start([first!, second!]);
      const answer = await callEntry(rig.port, {
        method: 'POST',
        path: '/batch/1',
        headers: MODEL,
      });
      rig.close();
      t.is(second!.runs.length, 1);
      t.false(answer.isWhole, `${missing} bytes missing`);
      t.true(answer.body.startsWith('id: 1\n'));
    }
  });
}
