import test, { type ExecutionContext } from 'ava';
import { createConnection } from 'node:net';
import { overloadRules } from '../src/core/overload/index.js';
import { FakeEngine } from '../standin/index.js';
import { startRig } from './support/pathrig.js';
import { stallEventLoop } from './support/stalleventloop.js';

const TURN_MS = 25;
/** More than wait for the 16 turns of the event loop after which the queue counts as standing. */
const CALLERS = 60;
const REQUEST = 'GET /healthz HTTP/1.1\r\nHost: caller.example\r\nConnection: close\r\n\r\n';

/** Makes each turn of the event loop take some time. Returns a function that ends this. */
function slowTurns(): () => void {
  let immediate = setImmediate(function turn() {
    stallEventLoop(TURN_MS);
    immediate = setImmediate(turn);
  });
  return () => clearImmediate(immediate);
}

/** Resolves with the status of the answer, or with the error that ended the connection without one. */
function ask(port: number): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket = createConnection(port, '127.0.0.1');
    socket.write(REQUEST);
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.on('close', () => resolve(text.split(' ')[1] ?? 'no answer'));
  });
}

async function open(t: ExecutionContext) {
  const engine = new FakeEngine({ tokenMs: 300, tokens: 10 });
  const rig = await startRig({ upstreams: [{ url: await engine.listen() }] });
  t.teardown(async () => {
    await rig.close();
    await engine.close();
  });
  return rig;
}

async function answersOf(port: number): Promise<Set<string>> {
  const restore = slowTurns();
  const ends = await Promise.all(Array.from({ length: CALLERS }, () => ask(port)));
  restore();
  return new Set(ends);
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

// Guards against requests that an entry resets unread in its first seconds.
test.serial(
  'an entry that has just begun to listen answers what it cannot read in time',
  async (t) => {
    const rig = await open(t);
    t.deepEqual(await answersOf(rig.port), new Set(['200', '503']));
  },
);

// Guards against requests that a planned stop resets unread.
test.serial('an entry that stops answers what it cannot read in time', async (t) => {
  const rig = await open(t);
  await sleep(overloadRules.startingMs + TURN_MS);
  const answer = await rig.chat('a');
  const stopped = rig.stopEntry();
  t.deepEqual(await answersOf(rig.port), new Set(['200', '503']));
  await answer.body.dump();
  await stopped;
});

// Guards against an overloaded entry that spends its time on refusals.
test.serial(
  'an entry that has listened for longer closes unread what it cannot read',
  async (t) => {
    const rig = await open(t);
    await sleep(overloadRules.startingMs + TURN_MS);
    t.deepEqual(await answersOf(rig.port), new Set(['200', 'ECONNRESET']));
  },
);
