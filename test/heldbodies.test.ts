import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { HeldAnswers } from '../src/entry/answer/index.js';
import { startRig } from './support/pathrig.js';
import { RawServer } from './support/rawserver.js';

const HELD_BYTES = 100;
/** A block of its own; a small answer takes one of 4,096 bytes. */
const LARGE = 'x'.repeat(6000);
const HALF = 'x'.repeat(80);
const HEAD = `HTTP/1.1 200 OK\r\nContent-Length: ${2 * HALF.length}\r\n\r\n`;

test('past the limit of all answers the one that takes most is passed on', (t) => {
  const held = new HeldAnswers(HELD_BYTES);
  const passed: string[] = [];
  const answer = (name: string) => ({
    passOn: () => {
      passed.push(name);
    },
  });
  const [first, second, third] = [answer('first'), answer('second'), answer('third')];
  held.record(first, 40);
  held.record(second, 60);
  t.deepEqual(passed, []);
  held.record(third, 10);
  t.deepEqual(passed, ['second']);
  held.record(third, 60);
  t.deepEqual(passed, ['second']);
  held.forget(first);
  held.record(first, 40);
  t.deepEqual(passed, ['second']);
  held.record(first, 41);
  t.deepEqual(passed, ['second', 'third']);
});

test('an answer that is passed on before it is complete arrives whole', async (t) => {
  const upstream = await RawServer.listen((socket) => {
    socket.write(`${HEAD}${HALF}`, () => setImmediate(() => socket.write(HALF)));
  });
  const rig = await startRig({
    upstreams: [{ url: `http://${upstream.address}`, type: 'plain' }],
    limits: { heldAnswersBytes: HELD_BYTES },
  });
  const answer = await rig.ask('/services/redactor/1', undefined);
  t.is(answer.statusCode, 200);
  t.is(await answer.body.text(), HALF + HALF);
  await rig.close();
  upstream.close();
});

// Guards against a second attempt whose answer follows the part that the caller has got of the first one.
test('an answer that was passed on and breaks is cut and not joined with another one', async (t) => {
  const upstream = await RawServer.listen((socket) => {
    socket.write(`${HEAD}${HALF}`, () => setImmediate(() => socket.resetAndDestroy()));
  });
  const rig = await startRig({
    upstreams: [{ url: `http://${upstream.address}`, type: 'plain' }],
    limits: { heldAnswersBytes: 1 },
  });
  const answer = await rig.ask('/services/redactor/1', undefined);
  t.is(answer.statusCode, 200);
  await t.throwsAsync(answer.body.text());
  await rig.close();
  upstream.close();
});

// Guards against the same where the answer was passed on because another one needed its memory.
test('an answer that another one displaced and that breaks is not tried again', async (t) => {
  const large: ServerResponse[] = [];
  const upstream = createServer((request, response) => {
    if (request.url === '/small') response.end('x');
    else {
      large.push(response);
      response.write(LARGE);
    }
  });
  await new Promise<void>((resolve) => {
    upstream.listen(0, '127.0.0.1', resolve);
  });
  const { port } = upstream.address() as AddressInfo;
  const rig = await startRig({
    upstreams: [{ url: `http://127.0.0.1:${port}`, type: 'plain' }],
    limits: { heldAnswersBytes: 2 * 4096 },
  });
  let isPassedOn = false;
  const asked = rig.ask('/services/redactor/large', undefined).then((answer) => {
    isPassedOn = true;
    return answer;
  });
  while (!isPassedOn) {
    const small = await rig.ask('/services/redactor/small', undefined);
    t.is(await small.body.text(), 'x');
  }
  const answer = await asked;
  t.is(answer.statusCode, 200);
  const text = answer.body.text();
  large[0]!.destroy();
  await t.throwsAsync(text);
  t.is(large.length, 1);
  await rig.close();
  upstream.close();
});
