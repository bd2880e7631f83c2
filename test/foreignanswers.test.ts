import test from 'ava';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { systemClock, type RequestId, type Revision } from '../src/base/index.js';
import { Peers } from '../src/direct/orders/peers.js';
import { Channel } from '../src/shell/http1/index.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {}, remove() {} } as never;
const ANSWERS = [
  '',
  '{',
  'null',
  '[]',
  '7',
  '{}',
  '{"ok":true}',
  '{"ok":false}',
  '{"type":"known"}',
];
const CALL = { method: 'GET', path: '/', headers: [] };
const CHANNEL = { clock: systemClock, connectTimeoutMs: 500, idleMs: 1000, maxConnections: 2 };

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against an answer of another form that ends an entry, such as that of a process at an address used before.
test('an answer that is none of an entry counts as no answer', async (t) => {
  let answer = '';
  const server = createServer((_request, response) => response.end(answer));
  const address = await listen(server);
  const peers = new Peers({} as never, systemClock, LOG, METRICS);
  t.teardown(() => {
    peers.close();
    server.close();
  });
  for (answer of ANSWERS) {
    const target = { service: 's' as never };
    t.is(await peers.find(address, target), undefined, answer);
    t.is(await peers.demand(address, {} as never), undefined, answer);
    t.is(await peers.trial(address, { traits: [], entry: 'e', isOver: false }), undefined, answer);
    t.is(await peers.draw(address, {} as never), undefined, answer);
    t.is(await peers.slot(address, { waitMs: 100 } as never), undefined, answer);
    t.is(await peers.origin(address, 'r1' as RequestId), undefined, answer);
    t.is(await peers.changes(address, { after: 1 as Revision, waitMs: 0 }), undefined, answer);
    const swap = { key: 'k', expectedRevision: 0 as Revision, value: 'v' };
    t.is((await peers.swap(address, swap)).val.type, 'store-outcome-unknown', answer);
  }
});

function failureOf(address: string, call = CALL): Promise<string> {
  return new Promise((resolve) => {
    let hasReturned = false;
    const channel = new Channel(address, CHANNEL);
    const ignore = () => true;
    channel.send(call, {
      head: ignore,
      data: ignore,
      end: ignore,
      failed: ({ type, sent }) => resolve(`${type} ${sent} ${hasReturned}`),
    });
    hasReturned = true;
  });
}

// Guards against an exception in the callback of a timer or socket, which would end the process.
test('an address or a call that cannot be used ends as a failed call, after the call has returned', async (t) => {
  for (const address of ['127.0.0.1:81450', '[<>]:80', '', 'a b:1']) {
    t.is(await failureOf(address), 'connection-failed false true', address);
  }
  const server = createServer((_request, response) => response.end());
  t.teardown(() => server.close());
  const address = await listen(server);
  const calls = [
    { ...CALL, headers: ['Last-Event-Id', 'a\u0001b'] },
    { ...CALL, headers: ['Expect', 'x'] },
    { ...CALL, path: '/a b' },
  ];
  for (const call of calls) {
    t.is(await failureOf(address, call as never), 'call-invalid false true');
  }
});
