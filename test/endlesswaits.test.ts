import test from 'ava';
import type { Socket } from 'node:net';
import { startRig } from './support/pathrig.js';
import { RawServer } from './support/rawserver.js';

const DRIP_MS = 50;
const DEADLINE = { 'tarragonstile-deadline-ms': '300' };
const LIMITS = { lateAnswerMs: 300, stallMs: 600_000 };
const EVENTS = 'Content-Type: text/event-stream\r\n';
const COMPLETION = JSON.stringify({ model: 'notice-1', stream: true, messages: [] });

/** Sends a head, and then a part of a body again and again. */
function drip(fields: string, piece: string): (socket: Socket) => void {
  return (socket) => {
    const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
    socket.write(`HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n`);
    const timer = setInterval(() => socket.write(chunk), DRIP_MS);
    socket.once('close', () => clearInterval(timer));
  };
}

const ANSWERS: Readonly<
  Record<string, { readonly type: 'engine' | 'plain'; readonly send: (socket: Socket) => void }>
> = {
  'an answer that is held until it is whole': { type: 'plain', send: drip('', 'x') },
  'an event': { type: 'engine', send: drip(EVENTS, 'data: ') },
};

// Guards against requests that wait as long as bytes of an answer arrive of which their callers get nothing.
for (const [name, { type, send }] of Object.entries(ANSWERS)) {
  test(`a request ends although the bytes of ${name} do not`, async (t) => {
    const upstream = await RawServer.listen(send);
    const rig = await startRig({
      upstreams: [{ url: `http://${upstream.address}`, type }],
      limits: LIMITS,
    });
    const answer =
      type === 'plain'
        ? await rig.ask('/services/redactor/1', undefined, DEADLINE)
        : await rig.ask('/v1/chat/completions', COMPLETION, DEADLINE);
    t.is(answer.statusCode, 504);
    const problem = (await answer.body.json()) as { type: string; executed: string };
    t.is(problem.type, 'urn:tarragonstile:answer-stalled');
    t.is(problem.executed, 'unknown');
    await rig.close();
    upstream.close();
  });
}
