import test, { type ExecutionContext } from 'ava';
import { connect, type Socket } from 'node:net';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';
import { stallEventLoop } from './support/stalleventloop.js';

/** The backoff that an upstream asks for, and how long the event loop then stalls. */
const PAUSE_S = 1.5;
const STANDSTILL_MS = 2200;
const TARGET_MS = 10_000;
/** The request that the upstream refuses has ended by then. */
const FIRST_DEADLINE_MS = 1200;

/** Continues at a point where overdue timers run before sockets are read again. */
async function afterSockets(): Promise<void> {
  await new Promise(setImmediate);
}

/** A caller whose request waits at an entry for the end of the only upstream's backoff. */
interface Waiting {
  readonly rig: PlatformRig;
  readonly server: PlatformServer;
  readonly socket: Socket;
  readonly answered: Promise<string>;
}

function write(port: number, id: string, deadlineMs: number): Socket {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(
    `GET /lookup/1 HTTP/1.1\r\nHost: caller.example\r\nTarragonstile-Request-Id: ${id}\r\n` +
      `Tarragonstile-Deadline-Ms: ${deadlineMs}\r\n\r\n`,
  );
  return socket;
}

async function startWaiting(t: ExecutionContext, deadlineMs: number): Promise<Waiting> {
  const server = new PlatformServer('p1', 'plain');
  server.behaviors.push('slow', 'slow', 'pause');
  server.retryAfterText = String(PAUSE_S);
  const rig = new PlatformRig();
  rig.targetLatencyMs = TARGET_MS;
  await rig.start([server]);
  // Two at a time, so that one connection stays open when the refused request has closed the other.
  const before = ['/lookup/0', '/lookup/0'].map((path) => callEntry(rig.port, { path }));
  for (const { status } of await Promise.all(before)) t.is(status, 200);
  server.requestLog.length = 0;
  write(rig.port, 'r0', FIRST_DEADLINE_MS);
  await rig.until(() => rig.findLine('upstream pause') !== undefined);
  const socket = write(rig.port, 'r1', deadlineMs);
  const answered = new Promise<string>((resolve) => {
    socket.once('data', (chunk) => resolve(chunk.toString()));
  });
  await rig.until(() => rig.entry.inFlight === 2);
  return { rig, server, socket, answered };
}

/** Checks that the upstream's next request is a new one: a request sent by mistake would arrive before it. */
async function expectNextRun(t: ExecutionContext, { rig, server }: Waiting): Promise<void> {
  const { status } = await callEntry(rig.port, { path: '/lookup/2' });
  t.is(status, 200);
  t.deepEqual(
    server.requestLog.map(({ path }) => path),
    ['/lookup/2'],
  );
  rig.close();
}

// Guards against running requests of callers that have left, after a stall in which the entry did not read the close.
test.serial(
  'a waiting request is not sent once its caller has left, though its timer fires before the close is read',
  async (t) => {
    const waiting = await startWaiting(t, 4000);
    await afterSockets();
    waiting.socket.destroy();
    // Afterwards the close is still unread, and the backoff is over.
    stallEventLoop(STANDSTILL_MS);
    await expectNextRun(t, waiting);
  },
);

// Guards against running a request past its deadline, and against reporting "unknown" for one that was never sent.
test.serial(
  'a waiting request is not sent past its deadline, though its timer fires before the deadline timer',
  async (t) => {
    const waiting = await startWaiting(t, 1800);
    await afterSockets();
    stallEventLoop(STANDSTILL_MS);
    t.regex(await waiting.answered, /^HTTP\/1\.1 503 /);
    await expectNextRun(t, waiting);
  },
);
