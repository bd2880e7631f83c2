import test from 'ava';
import { systemClock } from '../src/base/index.js';
import { callOnce, Channel } from '../src/shell/http1/index.js';
import { PlatformServer } from '../standin/platform/index.js';
import { flood } from './support/flood.js';
import { PlatformRig } from './support/platformrig.js';
import { RawServer } from './support/rawserver.js';
import { sendRaw } from './support/sendraw.js';

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
/** Kernel and stream buffers hold some MB of what was sent and not read. */
const MAX_SENT_BYTES = 64 * 1_048_576;
const LIMIT_BYTES = 1_048_576;

type Endless = Parameters<typeof flood>[1];

const OUTSIDE_BODIES: Readonly<Record<string, Endless>> = {
  'a status line': { head: 'HTTP/1.1 200 ', piece: 'x' },
  'header fields': { head: 'HTTP/1.1 200 OK\r\n', piece: 'A: b\r\n' },
  'one header field': { head: 'HTTP/1.1 200 OK\r\nA: ', piece: 'x' },
  'interim responses': { head: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n' },
  'a chunk size': { head: CHUNKED, piece: '0' },
  'a chunk extension': { head: `${CHUNKED}1;`, piece: 'x' },
  'a trailer': { head: `${CHUNKED}1\r\nx\r\n0\r\n`, piece: 'A: b\r\n' },
  'empty lines': { head: '', piece: '\r\n' },
};

const BODIES: Readonly<Record<string, Endless>> = {
  'a body without a length': { head: 'HTTP/1.1 200 OK\r\n\r\n', piece: 'x' },
  'a body in chunks': { head: CHUNKED, piece: '4\r\nxxxx\r\n' },
};

function createChannel(address: string): Channel {
  const options = { connectTimeoutMs: 1000, idleMs: 4000, maxConnections: 2 };
  return new Channel(address, { clock: systemClock, ...options });
}

const CALL = { method: 'GET', path: '/', headers: [] };
/** The connection has to be closed by the count of bytes, not by a time. */
const NEVER_MS = 600_000;

for (const [name, endless] of Object.entries({ ...OUTSIDE_BODIES, ...BODIES })) {
  test(`${name} without end is not read until the memory is full`, async (t) => {
    const server = await RawServer.listen((socket) => flood(socket, endless));
    const channel = createChannel(server.address);
    const answer = await callOnce(channel, CALL, systemClock, NEVER_MS, { maxBytes: LIMIT_BYTES });
    t.true(answer.err);
    await server.allClosed();
    t.true(server.sentBytes < MAX_SENT_BYTES, `${server.sentBytes}`);
    channel.close();
    server.close();
  });
}

test('bytes without end on a connection that nobody waits for close it', async (t) => {
  const server = await RawServer.listen((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    setImmediate(() => flood(socket, { head: '', piece: 'x' }));
  });
  const channel = createChannel(server.address);
  await callOnce(channel, CALL, systemClock, NEVER_MS);
  await server.allClosed();
  t.true(server.sentBytes < MAX_SENT_BYTES, `${server.sentBytes}`);
  channel.close();
  server.close();
});

test('small chunks of a long body are not taken for bytes without end', async (t) => {
  const bodyBytes = 300_000;
  const server = await RawServer.listen((socket) => {
    socket.end(`${CHUNKED}${'1\r\nx\r\n'.repeat(bodyBytes)}0\r\n\r\n`);
  });
  const channel = createChannel(server.address);
  const answer = await callOnce(channel, CALL, systemClock, NEVER_MS);
  t.is(answer.unwrap().body.length, bodyBytes);
  channel.close();
  server.close();
});

/** Requests of the same content that are enough for a verdict if each of them is taken for a crash. */
const ASKED = 10;

function createEngines(): [PlatformServer, PlatformServer] {
  const engines: ReturnType<typeof createEngines> = [
    new PlatformServer('e1', 'engine'),
    new PlatformServer('e2', 'engine'),
  ];
  for (const server of engines) server.models.set('m1', new Set());
  return engines;
}

function askStream(rig: PlatformRig, id: string): ReturnType<typeof sendRaw> {
  const request = [
    'POST /batch/1 HTTP/1.1',
    'Host: caller.example',
    `Tarragonstile-Request-Id: ${id}`,
    'Tarragonstile-Model: m1',
    'Connection: close',
    'Content-Length: 0',
  ];
  return sendRaw(rig.port, `${request.join('\r\n')}\r\n\r\n`);
}

test('an event without end is given up, and its stream goes on at another upstream', async (t) => {
  const [flooding, sound] = createEngines();
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  await rig.start([flooding, sound]);
  flooding.behaviors.push('endless-event');
  const answer = await askStream(rig, 'r1');
  t.is(answer.status, 200);
  t.true(answer.isWhole);
});

const NO_ANSWERS = ['rubbish', 'endless-event'] as const;

for (const behavior of NO_ANSWERS) {
  test(`a request is not judged as ending its upstreams where they answer with ${behavior}`, async (t) => {
    const rig = new PlatformRig();
    t.teardown(() => rig.close());
    await rig.start(createEngines());
    for (const server of rig.servers) server.behaviors.push(...Array(ASKED).fill(behavior));
    for (let at = 0; at < ASKED; at += 1) await askStream(rig, `r${at}`);
    t.true(rig.servers.some(({ behaviors }) => behaviors.length < ASKED));
    t.is(rig.findLine('request judged'), undefined);
    t.is(rig.findLine('run broke off'), undefined);
    t.truthy(rig.findLine('answer rejected'));
  });
}
