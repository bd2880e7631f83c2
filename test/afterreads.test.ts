import test from 'ava';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { systemClock } from '../src/base/index.js';
import { afterReads } from '../src/shell/loop/index.js';
import { stallEventLoop } from './support/stalleventloop.js';

const STALL_MS = 400;

/** Opens a connection and returns both ends of it. */
async function pair(server: Server): Promise<readonly [Socket, Socket]> {
  const { port } = server.address() as { port: number };
  const near = connect(port, '127.0.0.1');
  const [far] = (await once(server, 'connection')) as [Socket];
  far.resume();
  return [near, far];
}

test.serial(
  'afterReads runs its callback after a close that arrived during a stall has been read',
  async (t) => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const [near, far] = await pair(server);
    await new Promise(setImmediate);
    near.destroy();
    stallEventLoop(STALL_MS);
    await new Promise<void>((resolve) => {
      afterReads(systemClock, resolve);
    });
    t.true(far.readableEnded);
    server.close();
  },
);

test.serial(
  'afterReads waits for another iteration if a close arrives during a long one',
  async (t) => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const [near, far] = await pair(server);
    const [caller, called] = await pair(server);
    // Runs in the iteration that afterReads waits for; the other connection closes while this handler blocks.
    called.once('data', () => {
      stallEventLoop(STALL_MS);
      near.destroy();
    });
    const done = new Promise<void>((resolve) => {
      setImmediate(() => {
        afterReads(systemClock, resolve);
        setImmediate(() => caller.write('x'));
      });
    });
    await done;
    t.true(far.readableEnded);
    caller.destroy();
    server.close();
  },
);
