import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { request } from 'undici';
import { startEntry, startSidecar } from '../src/index.js';
import { FakeEngine } from '../standin/index.js';
import { serviceDocument } from './support/servicedocument.js';

const KEY = 'carrier-key';

test('a streamed request goes through entry and sidecar to the engine and back', async (t) => {
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
