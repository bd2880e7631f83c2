import { mkdtempSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { request } from 'undici';
import { startEntry, startSidecar } from '../src/index.js';
import { FakeEngine } from '../standin/index.js';
import { startRig } from './support/pathrig.js';
import { serviceDocument } from './support/servicedocument.js';

const KEY = 'carrier-key';

test('a streamed request passes through entry and sidecar to the engine, and its answer back', async (t) => {
  const engine = new FakeEngine({ tokenMs: 1, tokens: 5 });
  const upstreamUrl = await engine.listen();
  const place = { hostId: 'h', region: 'cantabrico', availabilityZone: 'oviedo-a' };
  const sidecar = await startSidecar({
    ...place,
    upstream: 'redactor-1',
    service: 'redactor',
    listen: '127.0.0.1:0',
    upstreamUrl,
    upstreamType: 'engine',
    logLevel: 'error',
    drainTimeoutMs: 1000,
    slots: 4,
    statsd: null,
  });
  const file = join(mkdtempSync(join(tmpdir(), 'tarragonstile-')), 'redactor.jsonc');
  const sidecarAddresses = [`127.0.0.1:${sidecar.port}`];
  writeFileSync(file, JSON.stringify(serviceDocument({ sidecarAddresses, keys: [KEY] })));
  const entry = await startEntry({
    ...place,
    listen: { host: '127.0.0.1', port: 0 },
    documents: [file],
    logLevel: 'error',
    drainTimeoutMs: 1000,
    bodyBytes: 100_000,
  });
  const answer = await request(`http://127.0.0.1:${entry.port}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}` },
    body: JSON.stringify({ model: 'notice-1', stream: true, messages: [{ content: 'a' }] }),
  });
  const body = await answer.body.text();
  t.is(answer.statusCode, 200);
  t.is(body.match(/"content"/g)?.length, 5);
  t.true(body.endsWith('data: [DONE]\n\n'));
  await entry.stop();
  await sidecar.stop();
  engine.close();
});

// Guards against a stop that resets a connection which the kernel has completed and the entry has not accepted yet.
test('a connection that is not accepted yet when a planned stop closes the listener gets an answer', async (t) => {
  const engine = new FakeEngine({ tokenMs: 1, tokens: 5 });
  const rig = await startRig({ upstreams: [{ url: await engine.listen() }] });
  const socket = connect(rig.port, '127.0.0.1');
  const ended = new Promise<string>((resolve) => {
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.on('close', () => resolve(text));
  });
  const body = JSON.stringify({ model: 'notice-1', messages: [{ content: 'a' }] });
  socket.write(
    `POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${KEY}\r\n` +
      `Connection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
  // The kernel completes the connection at once; the entry accepts it in a later iteration of the event loop.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  await rig.close();
  t.regex(await ended, /^HTTP\/1\.1 503 /);
  engine.close();
});
