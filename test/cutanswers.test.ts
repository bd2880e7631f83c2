import test from 'ava';
import { systemClock } from '../src/base/index.js';
import { Channel } from '../src/shell/http1/index.js';
import { RawServer } from './support/rawserver.js';

const CALL = { method: 'GET', path: '/', headers: [] };
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n';
const CUT = '\r\n4\r\nxxxx\r\n';

// Guards against a lost connection that is taken for a faulty upstream: the parser's client gives its errors no code.
for (const [name, field] of Object.entries({ closes: 'Connection: close\r\n', keeps: '' })) {
  test(`a cut answer in chunks that ${name} its connection is a lost connection`, async (t) => {
    const server = await RawServer.listen((socket) => socket.end(`${HEAD}${field}${CUT}`));
    const options = { clock: systemClock, connectTimeoutMs: 1000, idleMs: 4000, maxConnections: 2 };
    const channel = new Channel(server.address, options);
    t.teardown(() => {
      channel.close();
      server.close();
    });
    const outcome = await new Promise<string>((resolve) => {
      channel.send(CALL, {
        head() {},
        data: () => true,
        end: () => resolve('end'),
        failed: ({ type }) => resolve(type),
      });
    });
    t.is(outcome, 'connection-lost');
  });
}
