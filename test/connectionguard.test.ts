import test, { type ExecutionContext } from 'ava';
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { systemClock, VirtualClock, type Clock } from '../src/base/index.js';
import { ConnectionGuard, readBody, type CallerHold } from '../src/shell/callers/index.js';
import { silentLog } from './support/silentlog.js';

const LIMIT_BYTES = 400_000;
const BODY_BYTES = 100_000;
const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\n';

const LIMITS = {
  connections: 1000,
  requestsAhead: 100,
  requestsUnderWay: 8,
  heldBytes: LIMIT_BYTES,
  bodyIdleMs: 60_000,
  callerStallMs: 60_000,
};

interface Rig {
  readonly guard: ConnectionGuard;
  readonly port: number;
  readonly outcomes: string[];
  readonly reasons: string[];
  readonly unanswered: ServerResponse[];
  /** What the requests hold that were begun. */
  readonly holds: CallerHold[];
  close(): void;
}

/** Starts a guarded server. It answers requests whose path is `/`; others wait in `unanswered`. */
async function open(limits: Partial<typeof LIMITS> = {}, clock: Clock = systemClock): Promise<Rig> {
  const outcomes: string[] = [];
  const reasons: string[] = [];
  const unanswered: ServerResponse[] = [];
  const holds: CallerHold[] = [];
  const guard = new ConnectionGuard({
    clock,
    log: silentLog,
    limits: () => ({ ...LIMITS, ...limits }),
    closed: (reason) => reasons.push(reason),
    observed: () => undefined,
  });
  const server = createServer((request, response) => {
    const hold = guard.begin(response);
    holds.push(hold);
    const end = (outcome: string) => {
      outcomes.push(outcome);
      if (outcome === 'read' && request.url !== '/') unanswered.push(response);
      else response.writeHead(200, { 'content-length': 2 }).end('ok');
    };
    readBody(request, hold, BODY_BYTES, {
      read: () => hold.whenTurn(() => end('read')),
      tooLarge: () => end('too-large'),
      dropped: end,
      failed: () => end('failed'),
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return { guard, port, outcomes, reasons, unanswered, holds, close };
}

function send(port: number, text: string): Socket {
  const socket = connect(port, '127.0.0.1', () => socket.write(text));
  socket.on('error', () => undefined);
  return socket;
}

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

const UNFINISHED = `${HEAD}Content-Length: 90000\r\n\r\n${'x'.repeat(80_000)}`;

/** What a caller sends, by how its request ends. */
const COURSES: Readonly<Record<string, string>> = {
  whole: `${HEAD}Content-Length: 3\r\n\r\nabc`,
  chunked: `${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`,
  'too large': `${HEAD}Transfer-Encoding: chunked\r\n\r\n20000\r\n${'x'.repeat(0x20000)}\r\n`,
  unfinished: UNFINISHED,
  ahead: `${HEAD}\r\n`.repeat(20),
  unanswered: 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(5),
};

async function returnsAll(t: ExecutionContext, seed: number): Promise<void> {
  const rig = await open();
  const random = xoroshiro128plus(seed);
  const texts = Object.values(COURSES);
  const sockets = Array.from({ length: 30 }, () => {
    const at = uniformInt(random, 0, texts.length - 1);
    return send(rig.port, texts[at]!);
  });
  await until(() => rig.outcomes.length > 0);
  for (const [at, socket] of sockets.entries()) if (at % 2 === 0) socket.resetAndDestroy();
  for (const response of rig.unanswered) response.writeHead(200).end();
  for (const socket of sockets) socket.destroy();
  await until(() => rig.guard.heldBytes === 0);
  t.is(rig.guard.heldBytes, 0);
  rig.close();
}

for (const seed of [1, 2, 3, 4, 5]) {
  test(`what requests held is given back, however they end: seed ${seed}`, returnsAll, seed);
}

test('bodies that sit there are refused before a request that was read whole', async (t) => {
  const rig = await open();
  const waiting = send(rig.port, 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n');
  await until(() => rig.unanswered.length === 1);
  const sockets = Array.from({ length: 10 }, () => send(rig.port, UNFINISHED));
  await until(() => rig.reasons.length >= 6);
  t.true(rig.guard.heldBytes <= LIMIT_BYTES);
  t.deepEqual([...new Set(rig.reasons)], ['memory']);
  t.false(rig.unanswered[0]!.destroyed);
  for (const socket of [waiting, ...sockets]) socket.destroy();
  rig.close();
});

test('requests behind the most that may be sent ahead are not read, and those before them are answered', async (t) => {
  const rig = await open({ requestsAhead: 10, requestsUnderWay: 10 });
  let text = '';
  const socket = send(rig.port, 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(3000));
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  await until(() => rig.unanswered.length === 10);
  for (const response of rig.unanswered) response.writeHead(200, { 'content-length': 0 }).end();
  await new Promise((resolve) => {
    socket.once('end', resolve);
  });
  t.is(text.split('HTTP/1.1 200').length - 1, 10);
  t.is(rig.outcomes.length, 10);
  t.deepEqual(rig.reasons, ['requests-ahead']);
  rig.close();
});

test('a connection has a bounded number of requests under way, and the next begins when one ends', async (t) => {
  const rig = await open({ requestsUnderWay: 3 });
  const socket = send(rig.port, 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(10));
  const other = send(rig.port, 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n');
  await until(() => rig.unanswered.length === 4 && rig.guard.heldBytes >= 11 * 16_384);
  t.is(rig.unanswered.length, 4);
  const [first] = rig.unanswered;
  first!.writeHead(200).end();
  await until(() => rig.unanswered.length === 5);
  socket.destroy();
  other.destroy();
  rig.close();
});

test('a body of which nothing arrives is refused', async (t) => {
  const rig = await open({ bodyIdleMs: 300 });
  const socket = send(rig.port, UNFINISHED);
  await until(() => rig.outcomes.length > 0);
  t.deepEqual(rig.outcomes, ['idle-body']);
  socket.destroy();
  rig.close();
});

test('a body that goes on while the process stands still is not taken for idle', async (t) => {
  const clock = new VirtualClock();
  const rig = await open({ bodyIdleMs: 1000 }, clock);
  const socket = send(rig.port, UNFINISHED);
  await until(() => rig.guard.heldBytes > 80_000);
  clock.advanceTo(500);
  await until(() => rig.guard.heldBytes > 80_000);
  // In the kernel before the timers run that are due by then.
  socket.write('x'.repeat(5000));
  clock.advanceTo(5000);
  socket.write('x'.repeat(5000));
  await until(() => rig.outcomes.length > 0);
  t.deepEqual(rig.outcomes, ['read']);
  socket.destroy();
  rig.close();
});

test('a caller that reads none of its answer is disconnected', async (t) => {
  const rig = await open({ callerStallMs: 300 });
  const socket = send(rig.port, 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n');
  socket.pause();
  await until(() => rig.unanswered.length === 1);
  const [response] = rig.unanswered;
  response!.writeHead(200).write(Buffer.alloc(50_000_000));
  await until(() => response!.destroyed);
  t.deepEqual(rig.reasons, ['unread-answers']);
  rig.close();
});

const WAITING = 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n';
const BLOCK_BYTES = 65_536;

interface Answers {
  readonly rig: Rig;
  readonly clock: VirtualClock;
  readonly sockets: readonly Socket[];
  /** Requests whose answer was given up, in order. */
  readonly evicted: number[];
}

function answer(response: ServerResponse, status: number): void {
  if (!response.headersSent) response.writeHead(status).end();
}

/** Opens connections with one request each, which wait for their answers. */
async function openAnswers(count: number): Promise<Answers> {
  const clock = new VirtualClock();
  const rig = await open({}, clock);
  const sockets = Array.from({ length: count }, () => send(rig.port, WAITING));
  await until(() => rig.unanswered.length === count);
  const evicted: number[] = [];
  for (const [at, hold] of rig.holds.entries()) {
    hold.onEvict = () => {
      evicted.push(at);
      hold.chargeAnswer(-hold.answerBytes);
      answer(hold.response, 502);
    };
  }
  return { rig, clock, sockets, evicted };
}

function closeAnswers({ rig, sockets }: Answers): void {
  for (const socket of sockets) socket.destroy();
  rig.close();
}

test('answers that stand are given up for one that goes on, and none for a newcomer', async (t) => {
  const answers = await openAnswers(5);
  const { rig, clock, evicted } = answers;
  const [, standing, other, goingOn, newcomer] = rig.holds;
  standing!.chargeAnswer(2 * BLOCK_BYTES);
  other!.chargeAnswer(BLOCK_BYTES);
  clock.advanceTo(1500);
  goingOn!.chargeAnswer(BLOCK_BYTES);
  newcomer!.chargeAnswer(4096);
  t.deepEqual(evicted, []);
  goingOn!.chargeAnswer(BLOCK_BYTES);
  await until(() => evicted.length > 0);
  t.deepEqual(evicted, [1]);
  t.true(rig.guard.heldBytes <= LIMIT_BYTES);
  closeAnswers(answers);
});

test('answers that go on are given up only far beyond the limit', async (t) => {
  const answers = await openAnswers(4);
  const { rig, evicted } = answers;
  for (const hold of rig.holds) hold.chargeAnswer(2 * BLOCK_BYTES);
  t.true(rig.guard.heldBytes > LIMIT_BYTES);
  await new Promise(setImmediate);
  t.deepEqual(evicted, []);
  answers.clock.advanceTo(100);
  rig.holds[0]!.chargeAnswer(2 * BLOCK_BYTES);
  await until(() => evicted.length > 0);
  t.is(evicted[0], 0);
  t.true(rig.guard.heldBytes <= 1.5 * LIMIT_BYTES);
  closeAnswers(answers);
});

test('answers that stand are given up without another one that needs memory', async (t) => {
  const answers = await openAnswers(4);
  const { rig, clock, evicted } = answers;
  for (const hold of rig.holds) hold.chargeAnswer(2 * BLOCK_BYTES);
  for (let atMs = 250; atMs <= 2000 && evicted.length === 0; atMs += 250) {
    clock.advanceTo(atMs);
    await new Promise(setImmediate);
    await new Promise(setImmediate);
  }
  t.true(evicted.length > 0 && evicted.length < 4, `${evicted.length}`);
  t.true(rig.guard.heldBytes <= LIMIT_BYTES);
  closeAnswers(answers);
});

/** Takes and gives back memory for answers at random, ends requests in each way, and checks the account. */
async function accountsForAnswers(t: ExecutionContext, seed: number): Promise<void> {
  const answers = await openAnswers(12);
  const { rig, clock, sockets } = answers;
  const random = xoroshiro128plus(seed);
  for (let step = 0; step < 300; step += 1) {
    const at = uniformInt(random, 0, rig.holds.length - 1);
    const hold = rig.holds[at]!;
    const act = uniformInt(random, 0, 19);
    if (act < 11) hold.chargeAnswer(uniformInt(random, 1, BLOCK_BYTES));
    else if (act < 17) hold.chargeAnswer(-uniformInt(random, 0, hold.answerBytes));
    else if (act === 17 && step > 100) answer(hold.response, 200);
    else if (act === 18 && step > 100) sockets[at]!.destroy();
    else clock.advanceTo(clock.nowMs() + uniformInt(random, 1, 2000));
    if (step % 10 === 0) await new Promise(setImmediate);
    t.true(rig.guard.heldBytes >= 0);
    t.true(hold.answerBytes >= 0 && hold.heldBytes >= hold.answerBytes);
  }
  for (const socket of sockets) socket.destroy();
  await until(() => rig.guard.heldBytes === 0);
  for (const hold of rig.holds) hold.chargeAnswer(BLOCK_BYTES);
  t.is(rig.guard.heldBytes, 0);
  rig.close();
}

for (const seed of [1, 2, 3, 4, 5]) {
  test(`memory of answers is given back, however their requests end: seed ${seed}`, async (t) => {
    await accountsForAnswers(t, seed);
  });
}

test('a body that is being read is not refused for answers that stand', async (t) => {
  const answers = await openAnswers(3);
  const { rig, clock, evicted } = answers;
  const reading = send(rig.port, UNFINISHED);
  await until(() => rig.holds.length === 4 && rig.holds[3]!.heldBytes > 80_000);
  for (const hold of rig.holds.slice(0, 3)) hold.chargeAnswer(2 * BLOCK_BYTES);
  await new Promise(setImmediate);
  t.true(rig.guard.heldBytes > LIMIT_BYTES);
  t.false(rig.guard.isFull);
  clock.advanceTo(1500);
  rig.holds[0]!.chargeAnswer(1);
  await until(() => evicted.length > 0);
  t.deepEqual(rig.reasons, []);
  t.true(rig.guard.heldBytes <= LIMIT_BYTES);
  reading.destroy();
  closeAnswers(answers);
});

test('of several requests on a connection, the one whose answer stands is given up, and the others go on', async (t) => {
  const clock = new VirtualClock();
  const rig = await open({}, clock);
  const socket = send(rig.port, WAITING.repeat(3));
  await until(() => rig.unanswered.length === 3);
  const evicted: number[] = [];
  for (const [at, hold] of rig.holds.entries()) {
    hold.onEvict = () => {
      evicted.push(at);
      hold.chargeAnswer(-hold.answerBytes);
    };
  }
  rig.holds[1]!.chargeAnswer(LIMIT_BYTES - BLOCK_BYTES);
  clock.advanceTo(1500);
  rig.holds[2]!.chargeAnswer(2 * BLOCK_BYTES);
  await until(() => evicted.length > 0);
  t.deepEqual(evicted, [1]);
  t.deepEqual(rig.reasons, []);
  t.false(socket.destroyed);
  socket.destroy();
  rig.close();
});
