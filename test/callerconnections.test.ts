import test from 'ava';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { VirtualClock } from '../src/base/index.js';
import type { Caller } from '../src/direct/index.js';
import { overloadRules } from '../src/core/overload/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';

type Fields = Readonly<Record<string, unknown>>;

const HEAD =
  'POST /a/1 HTTP/1.1\r\nHost: h\r\nTarragonstile-Request-Id: r1\r\nContent-Length: 2\r\n\r\n';
const MESSAGE = 'connection ended without an answer';

interface Rig {
  readonly clock: VirtualClock;
  readonly server: HttpCallerServer;
  readonly lines: Fields[];
  readonly counts: Fields[];
  /** Resolves with the next caller whose request was accepted. */
  accepted(): Promise<Caller>;
  open(): Promise<Socket>;
  /** Resolves once a connection without an answer was recorded. */
  recorded(): Promise<Fields>;
}

/** Starts a server whose entry answers nothing by itself. */
async function start(): Promise<Rig> {
  const clock = new VirtualClock();
  const lines: Fields[] = [];
  const counts: Fields[] = [];
  let notify = () => {};
  let give: (caller: Caller) => void = () => {};
  const warn = (message: string, fields: Fields = {}) => {
    if (message === MESSAGE) lines.push(fields);
    notify();
  };
  const metrics = {
    count(name: string, _value?: number, tags: Fields = {}) {
      if (name === 'direct.connection_unanswered') counts.push(tags);
    },
    gauge() {},
    histogram() {},
  };
  const entry = { limits: undefined, accept: (caller: Caller) => give(caller) };
  const log = { info() {}, warn, error() {} };
  const server = new HttpCallerServer(entry as never, clock, log, metrics);
  const port = await server.listen('127.0.0.1', 0);
  return {
    clock,
    server,
    lines,
    counts,
    accepted: () =>
      new Promise((resolve) => {
        give = resolve;
      }),
    async open() {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      await once(socket, 'connect');
      return socket;
    },
    async recorded() {
      await new Promise<void>((resolve) => {
        notify = () => {
          if (lines.length > 0) resolve();
        };
        notify();
      });
      return lines[0]!;
    },
  };
}

// Without these, no log line told apart a connection that the accept gate reset, one that a stop closed, one that the
// exit of the process closed, one that was cut, and one that its caller left.
test('a request whose caller leaves is recorded with the stage that it has reached', async (t) => {
  const rig = await start();
  const accepted = rig.accepted();
  const socket = await rig.open();
  socket.write(`${HEAD}xy`);
  (await accepted).onSend!();
  rig.clock.advanceTo(7000);
  socket.destroy();
  const line = await rig.recorded();
  t.like(line, { closedBy: 'caller', phase: 'running', request: 'sent-on', requestId: 'r1' });
  t.like(line, { listeningMs: 7000, heldMs: 7000, answered: 0, bytesRead: HEAD.length + 2 });
  t.deepEqual(rig.counts, [{ by: 'caller', phase: 'running', request: 'sent-on' }]);
  rig.server.close();
});

test('an answer that is cut is recorded as cut by this process', async (t) => {
  const rig = await start();
  const accepted = rig.accepted();
  const socket = await rig.open();
  socket.write(`${HEAD}xy`);
  (await accepted).cut();
  t.like(await rig.recorded(), { closedBy: 'cut', phase: 'starting', request: 'accepted' });
  rig.server.close();
});

test('a connection that a stop closes while its request is part read is recorded with the phase', async (t) => {
  const rig = await start();
  rig.server.enterStopPhase('ending');
  const socket = await rig.open();
  socket.write(`${HEAD.replace('Content', 'Expect: 100-continue\r\nContent')}x`);
  await once(socket, 'data');
  rig.server.close();
  const expected = { closedBy: 'stop', phase: 'stop-ending', request: 'head-read' };
  t.like(await rig.recorded(), expected);
});

test('connections that are still open when the process exits are recorded', async (t) => {
  const rig = await start();
  const accepted = rig.accepted();
  const socket = await rig.open();
  socket.write(`${HEAD}xy`);
  await accepted;
  rig.server.enterStopPhase('over');
  rig.server.exiting();
  t.like(rig.lines[0], { closedBy: 'exit', phase: 'stop-over', request: 'accepted' });
  rig.server.close();
});

test('a connection that the accept gate closes is recorded, with the time since the process listens', async (t) => {
  const rig = await start();
  // The queue counts as standing, because each turn of the event loop brings a connection.
  const fromMs = overloadRules.startingMs;
  for (let atMs = fromMs; rig.lines.length === 0; atMs += overloadRules.standingMs / 2) {
    rig.clock.advanceTo(atMs);
    await Promise.all(Array.from({ length: 20 }, () => rig.open()));
  }
  t.like(rig.lines[0], {
    closedBy: 'accept-gate',
    phase: 'running',
    request: 'none',
    bytesRead: 0,
  });
  t.true((rig.lines[0]!.listeningMs as number) >= fromMs);
  rig.server.close();
});

test('a connection whose requests were all answered is not recorded', async (t) => {
  const rig = await start();
  const accepted = rig.accepted();
  const socket = await rig.open();
  socket.write(`${HEAD}xy`);
  const caller = await accepted;
  caller.begin(200, ['Content-Length', '0']);
  caller.end();
  await once(socket, 'data');
  socket.end();
  await once(socket, 'close');
  while ((await rig.server.connections()) > 0) await new Promise(setImmediate);
  t.deepEqual(rig.lines, []);
  rig.server.close();
});
