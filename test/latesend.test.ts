import test from 'ava';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { systemClock, type ModelId, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { ModelSpec, ServiceSpec } from '../src/core/routetable/index.js';
import { sendOrder } from '../src/direct/orders/sendorder.js';
import { createView as createUpstreamView } from '../src/direct/orders/createview.js';
import type { UpstreamView } from '../src/direct/orders/upstreamview.js';
import type { OrderLeaseKeeper } from '../src/direct/orders/orderleasekeeper.js';
import type { UpstreamLink } from '../src/port/index.js';
import { callOnce, Channel } from '../src/shell/http1/index.js';
import { HttpUpstreamLink } from '../platform/httpupstreamlink.js';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';
import { stallEventLoop } from './support/stalleventloop.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const MODEL = 'm1' as ModelId;
const ENGINE: NonNullable<ServiceSpec['engine']> = {
  weightsMb: 100,
  adapterSlots: 4,
  loadsPerSecond: 1,
  models: new Map([[MODEL, { sizeMb: 10, adapterSizeMb: 1 } as ModelSpec]]),
};
const TIMEOUT_MS = 10;
const LONG_MS = 2000;

function createView({ id, service, address }: PlatformServer): UpstreamView {
  return {
    ...createUpstreamView({
      id: id as UpstreamId,
      service: service as ServiceId,
      address,
      availabilityZone: 'z1',
      slots: 4,
      isLeaving: false,
      models: new Map(),
      warm: new Set(),
      onDisk: new Set(),
    }),
    orderCount: 0,
  };
}

// Guards against concurrent orders of two lease holders: a host suspended while a connection opens sends on resuming.
test.serial(
  'an order is not sent if the lease was lost while its connection was being opened',
  async (t) => {
    const server = new PlatformServer('e1', 'engine');
    await server.listen();
    const link = new HttpUpstreamLink(systemClock);
    let hasLease = true;
    const lease = { mayOrder: () => hasLease, epoch: 7 } as unknown as OrderLeaseKeeper;
    const context = {
      lease,
      link,
      clock: systemClock,
      log: LOG,
      metrics: METRICS,
      host: 'entry-1',
      engineOf: () => ENGINE,
    };
    const sent = sendOrder(context, createView(server), { action: 'load', model: MODEL });
    hasLease = false;
    t.is(await sent, 'unsent');
    t.deepEqual(server.orderLog, []);
    link.close();
    server.close();
  },
);

// Guards against an order with an old fencing token after one with a newer token.
test.serial('an order is not sent if the lease was taken again meanwhile', async (t) => {
  const server = new PlatformServer('e1', 'engine');
  await server.listen();
  const link = new HttpUpstreamLink(systemClock);
  const lease = { mayOrder: () => true, epoch: 7 };
  const context = {
    lease: lease as unknown as OrderLeaseKeeper,
    link,
    clock: systemClock,
    log: LOG,
    metrics: METRICS,
    host: 'entry-1',
    engineOf: () => ENGINE,
  };
  const sent = sendOrder(context, createView(server), { action: 'load', model: MODEL });
  lease.epoch = 8;
  t.is(await sent, 'unsent');
  t.deepEqual(server.orderLog, []);
  link.close();
  server.close();
});

// Guards against a pause of 2.5 s after an order that was certainly not sent.
test.serial('an order that timed out before its connection was open is unsent', async (t) => {
  const server = new PlatformServer('e1', 'engine');
  await server.listen();
  const link = new HttpUpstreamLink(systemClock);
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
  stallEventLoop(2 * TIMEOUT_MS);
  t.is(await sent, 'unsent');
  t.deepEqual(server.orderLog, []);
  link.close();
  server.close();
});

/** Starts an entry with one upstream; calls `meanwhile` whenever a request waits for a connection to open. */
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

// Guards against requests to a leaving upstream: its report may arrive while a connection to it opens.
test.serial(
  'a request is not sent to an upstream that starts to leave while the connection is being opened',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig: PlatformRig = await startOpening(server, () => {
      const { info } = rig.entry.fleet.get('p1' as UpstreamId)!;
      const rate = { type: 'unsaid' } as const;
      rig.entry.gate.onAnswer(info, { rate, isLeaving: true, unreadable: [] });
    });
    const { status } = await callEntry(rig.port, { path: '/lookup/1' });
    t.is(status, 503);
    t.deepEqual(server.requestLog, []);
    rig.close();
  },
);

// Guards against requests that the new configuration no longer allows.
test.serial(
  'a request is not sent if its route is withdrawn while the connection is being opened',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig: PlatformRig = await startOpening(server, () => {
      const { table } = rig.entry;
      rig.entry.setTable({ ...table!, routesByHost: new Map() });
    });
    const { status } = await callEntry(rig.port, { path: '/lookup/1' });
    t.is(status, 503);
    t.deepEqual(server.requestLog, []);
    rig.close();
  },
);

// Guards against work past the deadline, and against an unknown outcome for a request that was never sent.
test.serial(
  'a request is not sent if its deadline passes while the connection is being opened',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig = await startOpening(server, () => stallEventLoop(300));
    const headers = { 'Tarragonstile-Deadline-Ms': '200' };
    const { status } = await callEntry(rig.port, { path: '/lookup/1', headers });
    t.is(status, 503);
    t.deepEqual(server.requestLog, []);
    rig.close();
  },
);

// Guards against considering an upstream lost because this process was stalled.
test.serial(
  'a connection that opened while the event loop was stalled is used, though its time-out fires first',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig = await startOpening(server, () => stallEventLoop(500));
    const { status } = await callEntry(rig.port, { path: '/lookup/1' });
    t.is(status, 200);
    t.is(rig.findLine('upstreams taken for lost'), undefined);
    rig.close();
  },
);

// Guards against requests that wait until their deadline for a connection that is closed.
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
