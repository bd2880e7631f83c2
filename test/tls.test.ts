import { copyFileSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { connect } from 'node:tls';
import test from 'ava';
import { Agent, request } from 'undici';
import { startEntry, startSidecar } from '../src/index.js';
import { createLog } from '../src/shell/log/index.js';
import { KeyFiles } from '../src/shell/tls/keyfiles.js';
import { FakeEngine } from '../standin/index.js';
import { serviceDocument } from './support/servicedocument.js';

const FIXTURES = join(import.meta.dirname, '..', '..', 'test', 'fixtures', 'tls');
const RELOAD_MS = 20;
const COMMON_SETTINGS = {
  hostId: 'h',
  region: 'cantabrico',
  availabilityZone: 'oviedo-a',
  logLevel: 'error',
  drainTimeoutMs: 1000,
};

function replace(files: { certificateFile: string; keyFile: string }, name: string): void {
  copyFileSync(join(FIXTURES, `${name}.crt`), files.certificateFile);
  copyFileSync(join(FIXTURES, `${name}.key`), files.keyFile);
}

/** Returns key settings with copies of a fixture's files, which a test may replace. */
function keys(name: string) {
  const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-'));
  const files = {
    certificateFile: join(directory, 'tls.crt'),
    keyFile: join(directory, 'tls.key'),
    caFile: join(FIXTURES, 'authority.crt'),
    allowedNames: ['tarragonstile-entry', 'tarragonstile-sidecar'],
    reloadMs: RELOAD_MS,
  };
  replace(files, name);
  return files;
}

function sidecarFor(upstreamUrl: string) {
  return startSidecar({
    ...COMMON_SETTINGS,
    upstream: 'redactor-1',
    service: 'redactor',
    listen: '127.0.0.1:0',
    upstreamUrl,
    upstreamType: 'engine',
    slots: 4,
    statsd: null,
    peerTls: keys('sidecar'),
  });
}

function entryFor(sidecarPort: number, tls: object) {
  const file = join(mkdtempSync(join(tmpdir(), 'tarragonstile-')), 'redactor.jsonc');
  const sidecarAddresses = [`127.0.0.1:${sidecarPort}`];
  const document = serviceDocument({ sidecarAddresses, keys: ['key'], models: ['m'] });
  writeFileSync(file, JSON.stringify(document));
  const listen = { host: '127.0.0.1', port: 0 };
  return startEntry({ ...COMMON_SETTINGS, listen, documents: [file], bodyBytes: 100_000, ...tls });
}

async function ask(url: string, dispatcher?: Agent): Promise<number> {
  const answer = await request(`${url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer key' },
    body: JSON.stringify({ model: 'm', prompt: 'a' }),
    dispatcher,
  });
  await answer.body.dump();
  return answer.statusCode;
}

/** Returns the fingerprint of the certificate that a server presents on a new connection. */
async function presentedFingerprint(port: number): Promise<string> {
  const socket = connect({
    port,
    host: '127.0.0.1',
    ca: readFileSync(join(FIXTURES, 'authority.crt')),
    cert: readFileSync(join(FIXTURES, 'entry.crt')),
    key: readFileSync(join(FIXTURES, 'entry.key')),
    ALPNProtocols: ['h2', 'http/1.1'],
  });
  await once(socket, 'secureConnect');
  const { fingerprint256 } = socket.getPeerCertificate();
  socket.destroy();
  return fingerprint256;
}

for (const [name, allowed] of Object.entries({
  entry: true,
  'wrong-name': false,
  'wrong-authority': false,
})) {
  test(`a sidecar ${allowed ? 'accepts requests from' : 'refuses'} a peer with the certificate ${name}`, async (t) => {
    const engine = new FakeEngine({ tokenMs: 1 });
    const sidecar = await sidecarFor(await engine.listen());
    const entry = await entryFor(sidecar.port, { peerTls: keys(name) });
    const status = await ask(`http://127.0.0.1:${entry.port}`);
    t.is(status === 200, allowed);
    t.is(engine.ran > 0, allowed);
    await entry.stop();
    await sidecar.stop();
    engine.close();
  });
}

test('a sidecar refuses a peer without a certificate', async (t) => {
  const engine = new FakeEngine({ tokenMs: 1 });
  const sidecar = await sidecarFor(await engine.listen());
  const entry = await entryFor(sidecar.port, {});
  t.not(await ask(`http://127.0.0.1:${entry.port}`), 200);
  t.is(engine.ran, 0);
  await entry.stop();
  await sidecar.stop();
  engine.close();
});

test('an entry sends no requests to a sidecar that it cannot authenticate', async (t) => {
  const engine = new FakeEngine({ tokenMs: 1 });
  const sidecar = await sidecarFor(await engine.listen());
  const peerTls = { ...keys('entry'), allowedNames: ['some-other-sidecar'] };
  const entry = await entryFor(sidecar.port, { peerTls });
  t.not(await ask(`http://127.0.0.1:${entry.port}`), 200);
  t.is(engine.ran, 0);
  await entry.stop();
  await sidecar.stop();
  engine.close();
});

test('new connections on both listeners use replaced keys without a restart', async (t) => {
  const engine = new FakeEngine({ tokenMs: 1 });
  const upstreamUrl = await engine.listen();
  const files = { tls: { ...keys('entry'), caFile: null }, peerTls: keys('sidecar') };
  const sidecar = await startSidecar({
    ...COMMON_SETTINGS,
    upstream: 'redactor-1',
    service: 'redactor',
    listen: '127.0.0.1:0',
    upstreamUrl,
    upstreamType: 'engine',
    slots: 4,
    statsd: null,
    peerTls: files.peerTls,
  });
  const entry = await entryFor(sidecar.port, { tls: files.tls, peerTls: keys('entry') });
  const caller = new Agent({ connect: { ca: readFileSync(join(FIXTURES, 'authority.crt')) } });
  for (const [port, replaced] of [
    [entry.port, files.tls],
    [sidecar.port, files.peerTls],
  ] as const) {
    const before = await presentedFingerprint(port);
    replace(replaced, 'entry-renewed');
    let after = await presentedFingerprint(port);
    while (after === before) after = await presentedFingerprint(port);
    t.not(after, before);
  }
  t.is(await ask(`https://127.0.0.1:${entry.port}`, caller), 200);
  await t.throwsAsync(ask(`http://127.0.0.1:${entry.port}`));
  await caller.close();
  await entry.stop();
  await sidecar.stop();
  engine.close();
});

// Guards against a stop that waits for connections which carry no request.
test('a stop closes idle connections over TLS', async (t) => {
  const entry = await entryFor(9, {
    tls: { ...keys('entry'), caFile: null },
    peerTls: keys('entry'),
  });
  const ca = readFileSync(join(FIXTURES, 'authority.crt'));
  const sockets = [0, 1].map(() => connect({ port: entry.port, host: '127.0.0.1', ca }));
  await Promise.all(sockets.map((socket) => once(socket, 'secureConnect')));
  const [used] = sockets;
  used!.write('GET /healthz HTTP/1.1\r\nHost: caller.example\r\n\r\n');
  await once(used!, 'data');
  const ended = Promise.all(sockets.map((socket) => once(socket.resume(), 'end')));
  const startedAtMs = performance.now();
  await entry.stop();
  t.true(performance.now() - startedAtMs < COMMON_SETTINGS.drainTimeoutMs);
  await ended;
});

test('the last valid keys stay in use while certificate and key do not match', (t) => {
  const files = keys('entry');
  const opened = KeyFiles.open(files, createLog('test', 'error')).unwrap();
  const before = opened.current();
  copyFileSync(join(FIXTURES, 'sidecar.key'), files.keyFile);
  opened.reload();
  t.is(opened.current(), before);
  replace(files, 'entry-renewed');
  opened.reload();
  t.not(opened.current(), before);
  opened.close();
});
