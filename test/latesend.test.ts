import test from 'ava';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { systemClock, type ModelId, type ServiceId, type UpstreamId } from '../src/base/index.js';
import { sendOrder } from '../src/direct/orders/sendorder.js';
import type { Track } from '../src/direct/orders/track.js';
import type { TurnKeeper } from '../src/direct/orders/turnkeeper.js';
import type { UpstreamLink } from '../src/port/index.js';
import { callOnce, Channel } from '../src/shell/http1/index.js';
import { Upstreams } from '../platform/upstreams.js';
import { PlatformServer } from '../standin/platform/index.js';
import { askEntry } from './support/askentry.js';
import { PlatformRig } from './support/platformrig.js';
import { standstill } from './support/standstill.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const MODEL = 'm1' as ModelId;
const TIMEOUT_MS = 10;
const LONG_MS = 2000;

function trackOf({ id, service, address }: PlatformServer): Track {
  return {
    info: {
      id: id as UpstreamId,
      service: service as ServiceId,
      address,
      availabilityZone: 'z1',
      slots: 4,
      isLeaving: false,
      models: new Map(),
      warm: new Set(),
      onDisk: new Set(),
    },
    orderCount: 0,
    done: new Map(),
    going: new Set(),
    doubt: undefined,
    models: new Map(),
    isMoving: false,
    coming: 0,
    arriving: 0,
    restUntilMs: 0,
    turn: Promise.resolve(),
  };
}

// Guards against orders of two holders at one upstream: a host that is suspended while a connection opens sends on waking.
test.serial(
  'an order whose right has gone while its connection was being opened is not sent',
  async (t) => {
    const server = new PlatformServer('e1', 'engine');
    await server.listen();
    const link = new Upstreams(systemClock);
    let hasRight = true;
    const turn = { mayOrder: () => hasRight, epoch: 7 } as unknown as TurnKeeper;
    const tools = { turn, link, clock: systemClock, log: LOG, metrics: METRICS, host: 'entry-1' };
    const sent = sendOrder(tools, trackOf(server), { action: 'load', model: MODEL });
    hasRight = false;
    t.is(await sent, 'unsent');
    t.deepEqual(server.seenOrders, []);
    link.close();
    server.close();
  },
);

// Guards against an order with an old fencing token after one with a newer.
test.serial('an order whose right was taken anew meanwhile is not sent either', async (t) => {
  const server = new PlatformServer('e1', 'engine');
  await server.listen();
  const link = new Upstreams(systemClock);
  const turn = { mayOrder: () => true, epoch: 7 };
  const tools = {
    turn: turn as unknown as TurnKeeper,
    link,
    clock: systemClock,
    log: LOG,
    metrics: METRICS,
    host: 'entry-1',
  };
  const sent = sendOrder(tools, trackOf(server), { action: 'load', model: MODEL });
  turn.epoch = 8;
  t.is(await sent, 'unsent');
  t.deepEqual(server.seenOrders, []);
  link.close();
  server.close();
});

// Guards against 2.5 s without orders for one whose outcome was never in doubt.
test.serial('an order that was given up before its connection was open is unsent', async (t) => {
  const server = new PlatformServer('e1', 'engine');
  await server.listen();
  const link = new Upstreams(systemClock);
  const order = {
    upstream: 'e1' as UpstreamId,
    address: server.address,
    action: 'load' as const,
    model: MODEL,
    expectedOrderCount: 0,
    holder: 'entry-1',
    fencingToken: 7,
  };
  const sent = link.order(order, TIMEOUT_MS, () => true);
  standstill(2 * TIMEOUT_MS);
  t.is(await sent, 'unsent');
  t.deepEqual(server.seenOrders, []);
  link.close();
  server.close();
});

/** Starts an entry before one upstream, and does something each time that a request waits for its connection to open. */
async function startOpening(server: PlatformServer, meanwhile: () => void): Promise<PlatformRig> {
  const rig = new PlatformRig();
  await rig.start([server]);
  const link = rig.entry.link as { send: UpstreamLink['send'] };
  const send = link.send.bind(link);
  link.send = (...args) => {
    const sent = send(...args);
    meanwhile();
    return sent;
  };
  return rig;
}

// Guards against work for an upstream that leaves: its word may come while a connection to it opens.
test.serial(
  'a request whose upstream leaves while its connection is being opened is not sent there',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig: PlatformRig = await startOpening(server, () => {
      const { info } = rig.entry.fleet.get('p1' as UpstreamId)!;
      const rate = { type: 'unsaid' } as const;
      rig.entry.gate.hear(info, { rate, isLeaving: true, unreadable: [] });
    });
    const { status } = await askEntry(rig.port, { path: '/lookup/1' });
    t.is(status, 503);
    t.deepEqual(server.seen, []);
    rig.close();
  },
);

// Guards against requests that the configuration in force no longer allows.
test.serial(
  'a request whose route is withdrawn while its connection is being opened is not sent',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig: PlatformRig = await startOpening(server, () => {
      const { table } = rig.entry;
      rig.entry.setTable({ ...table!, routesByHost: new Map() });
    });
    const { status } = await askEntry(rig.port, { path: '/lookup/1' });
    t.is(status, 503);
    t.deepEqual(server.seen, []);
    rig.close();
  },
);

// Guards against work past its time, and "unknown" for a request that never left.
test.serial(
  'a request whose time passes while its connection is being opened is not sent',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig = await startOpening(server, () => standstill(300));
    const headers = { 'Tarragonstile-Deadline-Ms': '200' };
    const { status } = await askEntry(rig.port, { path: '/lookup/1', headers });
    t.is(status, 503);
    t.deepEqual(server.seen, []);
    rig.close();
  },
);

// Guards against taking an upstream for lost because this process stood still.
test.serial(
  'a connection that opened while the process stood still is used, though its time-out comes first',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig = await startOpening(server, () => standstill(500));
    const { status } = await askEntry(rig.port, { path: '/lookup/1' });
    t.is(status, 200);
    t.is(rig.said('upstreams taken for lost'), undefined);
    rig.close();
  },
);

// Guards against requests that wait for a connection which is gone until their time is over.
test.serial(
  'a connection that is reset as soon as it is open fails its request at once',
  async (t) => {
    const server = createServer((socket) => setImmediate(() => socket.resetAndDestroy())).listen(
      0,
      '127.0.0.1',
    );
    await once(server, 'listening');
    const { port } = server.address() as { port: number };
    const options = { clock: systemClock, connectTimeoutMs: 400, idleMs: 4000, maxConnections: 1 };
    for (let at = 0; at < 20; at += 1) {
      const channel = new Channel(`127.0.0.1:${port}`, options);
      const call = { method: 'GET', path: '/', headers: [] };
      const answer = await callOnce(channel, call, systemClock, LONG_MS);
      t.true(answer.err);
      t.notRegex(answer.err ? answer.val.detail : '', /No answer within/);
      channel.close();
    }
    server.close();
  },
);
