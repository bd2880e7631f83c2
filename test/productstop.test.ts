import test, { type ExecutionContext } from 'ava';
import { connect, type Socket } from 'node:net';
import { FakeEngine } from '../standin/index.js';
import { startRig } from './support/pathrig.js';

const BODY = JSON.stringify({ model: 'notice-1', messages: [{ content: 'a' }] });
const GENERATE =
  'POST /v1/chat/completions HTTP/1.1\r\nHost: caller.example\r\nAuthorization: Bearer carrier-key\r\n' +
  `Content-Type: application/json\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;
/** Its answer repeats the path. */
const UNKNOWN = `GET /${'x'.repeat(14_000)} HTTP/1.1\r\nHost: caller.example\r\nAuthorization: none\r\n\r\n`;
/** Their answers are larger than what the kernel buffers of a connection. */
const MANY = 1500;

async function open(t: ExecutionContext) {
  const engine = new FakeEngine({ tokenMs: 50, tokens: 10 });
  const rig = await startRig({ upstreams: [{ url: await engine.listen() }] });
  t.teardown(async () => {
    await rig.close();
    await engine.close();
  });
  return rig;
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Collects what arrives until the connection ends. */
function readAll(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('end', () => socket.destroy());
    socket.on('error', (error: NodeJS.ErrnoException) => {
      chunks.push(Buffer.from(`<${error.code}>`));
    });
    socket.on('close', () => resolve(Buffer.concat(chunks).toString()));
  });
}

// Guards against a further request that crosses a close of which its caller was not told.
test('a stop answers each pipelined request, and tells the close with the last answer', async (t) => {
  const rig = await open(t);
  const socket = connect(rig.port, '127.0.0.1');
  const read = readAll(socket);
  socket.write(`${GENERATE}${GENERATE}`);
  await sleep(200);
  const stopped = rig.stopEntry();
  const text = await read;
  await stopped;
  t.is(text.match(/HTTP\/1\.1 200 /g)?.length, 2, text);
  t.is(text.match(/connection: close/gi)?.length, 1, text);
});

// Guards against a request that arrives while the last answer of a stop is written.
test('a stop refuses a request behind the last one that it serves, and tells the close with that', async (t) => {
  const rig = await open(t);
  const socket = connect(rig.port, '127.0.0.1');
  const read = readAll(socket);
  socket.write(GENERATE);
  await sleep(200);
  const stopped = rig.stopEntry();
  socket.write(GENERATE);
  const text = await read;
  await stopped;
  t.is(text.match(/HTTP\/1\.1 /g)?.length, 2, text);
  t.regex(text, /HTTP\/1\.1 503 [^]*entry-leaving/);
  t.is(text.match(/connection: close/gi)?.length, 1, text);
});

// Guards against answers that are cut while a slow caller still receives them.
test('a stop does not cut answers that have ended and are still being sent', async (t) => {
  const rig = await open(t);
  const socket = connect(rig.port, '127.0.0.1');
  socket.pause();
  socket.write(UNKNOWN.repeat(MANY));
  await sleep(1000);
  const stopped = rig.stopEntry();
  await sleep(200);
  const read = readAll(socket);
  socket.resume();
  const text = await read;
  await stopped;
  const answers = text.split('HTTP/1.1 404 ').slice(1);
  t.true(answers.length > 1);
  t.is(answers.filter((answer) => answer.endsWith('}\r\n0\r\n\r\n')).length, answers.length);
  t.is(text.match(/connection: close/gi)?.length, 1);
});
