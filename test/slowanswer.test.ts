import { createServer, type Server } from 'node:http';
import { once } from 'node:events';
import test from 'ava';
import { systemClock, VirtualClock } from '../src/base/index.js';
import { callOnce, Channel, type Http1Receiver } from '../src/shell/http1/index.js';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';
import { stallEventLoop } from './support/stalleventloop.js';

const TIMEOUT_MS = 200;
const CALL = { method: 'GET', path: '/', headers: [] };

/** A channel whose answers the test delivers. */
class ScriptedChannel {
  receiver!: Http1Receiver;

  isCancelled = false;

  send(_call: unknown, receiver: Http1Receiver) {
    this.receiver = receiver;
    const cancel = () => {
      this.isCancelled = true;
    };
    return { isSent: true, cancel, resume() {} };
  }
}

function begin() {
  const clock = new VirtualClock();
  const channel = new ScriptedChannel();
  const answer = callOnce(channel as unknown as Channel, CALL, clock, TIMEOUT_MS);
  const advance = async (ms: number) => {
    clock.advanceTo(clock.nowMs() + ms);
    for (let round = 0; round < 5; round += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  };
  return { channel, answer, advance };
}

async function listen(server: Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as { port: number }).port}`;
}

test('an answer that is still arriving when its time-out passes is not discarded', async (t) => {
  const { channel, answer, advance } = begin();
  channel.receiver.head(200, [], 'length');
  for (let piece = 0; piece < 10; piece += 1) {
    channel.receiver.data(Buffer.from('x'));
    await advance(TIMEOUT_MS * 0.8);
  }
  channel.receiver.end();
  const got = await answer;
  t.false(channel.isCancelled);
  t.is(got.ok && got.val.body.length, 10);
});

test('an answer that stops arriving fails its call', async (t) => {
  const { channel, answer, advance } = begin();
  channel.receiver.head(200, [], 'length');
  channel.receiver.data(Buffer.from('x'));
  await advance(TIMEOUT_MS * 0.8);
  channel.receiver.data(Buffer.from('x'));
  await advance(TIMEOUT_MS * 1.1);
  await advance(TIMEOUT_MS * 1.1);
  t.true(channel.isCancelled);
  const got = await answer;
  t.is(got.err && got.val.receivedBytes, 2);
});

test('a call without an answer fails when its time-out passes', async (t) => {
  const { channel, answer, advance } = begin();
  await advance(TIMEOUT_MS * 1.1);
  t.true(channel.isCancelled);
  t.true((await answer).err);
});

test.serial('an answer that lies unread when its time-out passes is used', async (t) => {
  const server = createServer((_request, response) => {
    response.end('x');
    setImmediate(() => stallEventLoop(TIMEOUT_MS * 2));
  });
  const address = await listen(server);
  const options = { clock: systemClock, connectTimeoutMs: 2000, idleMs: 4000, maxConnections: 1 };
  const channel = new Channel(address, options);
  t.teardown(() => {
    channel.close();
    server.close();
  });
  const got = await callOnce(channel, CALL, systemClock, TIMEOUT_MS);
  t.true(got.ok);
});

test.serial(
  'an answer that lies unread at the deadline of its request reaches the caller',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig = new PlatformRig();
    await rig.start([server]);
    t.teardown(() => rig.close());
    const { status: before } = await callEntry(rig.port, { path: '/lookup/1' });
    t.is(before, 200);
    // The event loop stalls right after the upstream has written its answer.
    server.behaviors.shift = () => {
      setImmediate(() => stallEventLoop(TIMEOUT_MS * 2));
      return 'serve';
    };
    const headers = { 'Tarragonstile-Deadline-Ms': String(TIMEOUT_MS) };
    const { status } = await callEntry(rig.port, { path: '/lookup/1', headers });
    t.is(status, 200);
  },
);
