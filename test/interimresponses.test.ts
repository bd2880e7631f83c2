import test from 'ava';
import { systemClock } from '../src/base/index.js';
import { Channel } from '../src/shell/http1/index.js';
import { RawServer } from './support/rawserver.js';

// Guards against a faulty upstream that counts as one which its request has crashed.
test('an interim response that the request has not asked for is a malformed answer', async (t) => {
  const server = await RawServer.listen((socket) => socket.write('HTTP/1.1 100 Continue\r\n\r\n'));
  const options = { clock: systemClock, connectTimeoutMs: 1000, idleMs: 4000, maxConnections: 2 };
  const channel = new Channel(server.address, options);
  t.teardown(() => {
    channel.close();
    server.close();
  });
  const outcome = await new Promise<string>((resolve) => {
    const call = { method: 'GET', path: '/', headers: [] };
    channel.send(call, {
      head() {},
      data: () => true,
      end: () => resolve('end'),
      failed: ({ type }) => resolve(type),
    });
  });
  t.is(outcome, 'answer-malformed');
});
