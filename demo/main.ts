import { createHash } from 'node:crypto';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { FakeEngine } from '../standin/index.js';
import { Daemon } from './daemon.js';

const KEY = 'demo-key';
const PLACE = { region: 'cantabrico', availabilityZone: 'oviedo-a', logLevel: 'warn' };

const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-'));
const engine = new FakeEngine({ tokenMs: 5, tokens: 20 });
const sidecar = await Daemon.start('sidecar', directory, 'redactor-1', {
  ...PLACE,
  hostId: 'redactor-1',
  upstream: 'redactor-1',
  service: 'redactor',
  listen: '127.0.0.1:0',
  upstreamUrl: await engine.listen(),
});
const document = join(directory, 'redactor.jsonc');
writeFileSync(
  document,
  JSON.stringify({
    service: 'redactor',
    customers: [{ id: 'demo', keyHashes: [createHash('sha256').update(KEY).digest('hex')] }],
    kinds: [{ name: 'draft', deadlineMs: 5000, repeatable: true }],
    models: [{ id: 'notice-1', defaultKind: 'draft' }],
    groups: [{ upstreams: [{ id: 'redactor-1', sidecarAddress: `127.0.0.1:${sidecar.port}` }] }],
  }),
);
const entry = await Daemon.start('entry', directory, 'entry-1', {
  ...PLACE,
  hostId: 'entry-1',
  listen: { host: '127.0.0.1', port: 0 },
  documents: [document],
});
const answer = await request(`http://127.0.0.1:${entry.port}/v1/chat/completions`, {
  method: 'POST',
  headers: { authorization: `Bearer ${KEY}` },
  body: JSON.stringify({ model: 'notice-1', stream: true, messages: [{ content: 'hello' }] }),
});
const body = await answer.body.text();
const answered = answer.statusCode === 200 && body.endsWith('data: [DONE]\n\n') ? 1 : 0;
const exitCodes = [await entry.stop(), await sidecar.stop()];
engine.close();
console.log(JSON.stringify({ asked: 1, answered, ran: engine.ran, exitCodes }));
process.exit(answered === 1 && exitCodes.every((code) => code === 0) ? 0 : 1);
