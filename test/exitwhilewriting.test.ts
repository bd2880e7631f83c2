import test from 'ava';
import { connect } from 'node:net';
import { systemClock } from '../src/base/index.js';
import { plannedStop, type Caller } from '../src/direct/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const GRACE_MS = 8000;
/** Within the phases `finishing` and `ending`. */
const FINISHING_AT_MS = 3100;
const ENDING_AT_MS = 7525;
/** After the answers have arrived, the caller writes for this long before it reads. */
const WRITE_ON_MS = 120;
const HEAD = 'POST /a/1 HTTP/1.1\r\nHost: h\r\nTarragonstile-Request-Id: 1\r\n';

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

// Guards against an exit whose reset overtakes an answer that was written.
test('an exit at the end of the grace period waits for a caller that still writes', async (t) => {
  const held: Caller[] = [];
  const entry = {
    limits: undefined,
    accept: (caller: Caller) => held.push(caller),
    inFlight: 0,
    retire() {},
    release: () => Promise.resolve(),
    stopWaiting() {},
    endAll() {
      for (const caller of held) {
        caller.refuse({ status: 503, type: 'upstreams-full', detail: '', executed: 'no' });
      }
    },
  };
  let skippedMs = 0;
  // Time passes in steps, so that a slow machine does not reach the end of the grace period.
  const clock = { ...systemClock, nowMs: () => skippedMs };
  const server = new HttpCallerServer(entry as never, clock, LOG, METRICS);
  const socket = connect(await server.listen('127.0.0.1', 0), '127.0.0.1');
  const answered = new Promise<string>((resolve) => {
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.once('readable', () => {
      setTimeout(() => resolve(String(socket.read())), WRITE_ON_MS);
    });
  });
  socket.write(`${HEAD}Content-Length: 1\r\n\r\nx`);
  while (held.length === 0) await sleep(1);
  const options = { entry: entry as never, server, graceMs: GRACE_MS, clock, log: LOG };
  // An exit closes all connections.
  const exited = plannedStop(options).then(() => server.close());
  skippedMs = FINISHING_AT_MS;
  while (server.isListening) await sleep(1);
  socket.write(`${HEAD}Content-Length: 1000000\r\n\r\n`);
  const write = setInterval(() => socket.write('x'), 5);
  await sleep(100);
  skippedMs = ENDING_AT_MS;
  const text = await answered;
  clearInterval(write);
  socket.destroy();
  await exited;
  t.is(text.match(/HTTP\/1\.1 503 /g)?.length, 2, text);
});
