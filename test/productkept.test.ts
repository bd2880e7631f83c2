import test from 'ava';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { VirtualClock } from '../src/base/index.js';
import { Connections } from '../src/entry/connections.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
/** Turns of the event loop in which the other end of a connection has read what was written. */
const DELIVERY_TURNS = 100;
const LONG_MS = 1000;

async function deliver(): Promise<void> {
  for (let turn = 0; turn < DELIVERY_TURNS; turn += 1) await nextTurn();
}

// Guards against a stop that closes a kept connection right when its caller sends the next request.
test('a connection is not closed as unused right after an answer, and later it is', async (t) => {
  const clock = new VirtualClock();
  const server = createServer();
  const connections = new Connections(server, 10, clock, () => true);
  server.on('request', (_request, response) => {
    connections.begin(response);
    response.end('ok');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let text = '';
  let hasEnded = false;
  socket.on('data', (chunk) => {
    text += chunk.toString();
  });
  socket.on('end', () => {
    hasEnded = true;
  });
  const answered = async (count: number) => {
    while (text.split('HTTP/1.1 200 ').length - 1 < count && !hasEnded) await nextTurn();
    await deliver();
  };
  clock.advanceTo(LONG_MS);
  socket.write(REQUEST);
  await answered(1);
  connections.closeUnused();
  await deliver();
  t.false(hasEnded);
  socket.write(REQUEST);
  await answered(2);
  clock.advanceTo(2 * LONG_MS);
  connections.closeUnused();
  await deliver();
  t.true(hasEnded);
  t.is(text.match(/HTTP\/1\.1 200 /g)?.length, 2);
});
