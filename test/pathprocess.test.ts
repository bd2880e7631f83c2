import test from 'ava';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { benchDocument } from '../bench/path/benchdocument.js';
import { startBenchEntry } from '../bench/path/startbenchentry.js';
import { Daemon } from '../demo/daemon.js';
import { GatedEngine } from './support/gatedengine.js';
import { readFirstChunk } from './support/reading.js';

const SLOTS = 16;

function startSidecar(upstreamUrl: string, index: number): Promise<Daemon> {
  const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-'));
  return Daemon.start('sidecar', directory, 'sidecar', {
    region: 'cantabrico',
    availabilityZone: 'oviedo-a',
    logLevel: 'error',
    hostId: `redactor-${index}`,
    upstream: `u-${index}`,
    service: 'redactor',
    listen: '127.0.0.1:0',
    upstreamUrl,
    slots: SLOTS,
  });
}

/** Starts `count` held engines, a sidecar process for each, and an entry process. */
async function startPath(count: number) {
  const engines = Array.from({ length: count }, () => new GatedEngine());
  const urls = await Promise.all(engines.map((engine) => engine.listen()));
  const sidecars = await Promise.all(urls.map(startSidecar));
  const addresses = sidecars.map(({ port }) => `127.0.0.1:${port}`);
  const entry = await startBenchEntry(addresses, SLOTS);
  const chat = async () => {
    const answer = await request(`http://127.0.0.1:${entry.port}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${benchDocument.key}` },
      body: JSON.stringify({ model: 'notice-1', stream: true, messages: [{ content: 'a' }] }),
    });
    return readFirstChunk(answer);
  };
  return { engines, sidecars, entry, chat };
}

test('a stream completes when both daemons get SIGTERM, and both exit with 0', async (t) => {
  const { engines, sidecars, entry, chat } = await startPath(1);
  const reading = await chat();
  const exits = [entry.end('SIGTERM'), sidecars[0]!.end('SIGTERM')];
  engines[0]!.release();
  t.true((await reading.readAll()).endsWith('data: [DONE]\n\n'));
  t.deepEqual(await Promise.all(exits), [0, 0]);
  engines[0]!.close();
});

test('a second SIGTERM ends a stream with a typed error, and the entry exits with 0', async (t) => {
  const { engines, sidecars, entry, chat } = await startPath(1);
  const reading = await chat();
  const exit = entry.end('SIGTERM');
  entry.signal('SIGTERM');
  const repeat = setInterval(() => entry.signal('SIGTERM'), 20);
  t.regex(await reading.readAll(), /event: error\ndata: .*entry-leaving.*"executed":"unknown"/);
  t.is(await exit, 0);
  clearInterval(repeat);
  t.is(await sidecars[0]!.end('SIGTERM'), 0);
  engines[0]!.close();
});

test('when a sidecar is killed during a stream, another one continues it byte for byte', async (t) => {
  const { engines, sidecars, entry, chat } = await startPath(2);
  const reading = await chat();
  const killed = engines.findIndex(({ runCount: ran }) => ran === 1);
  await sidecars[killed]!.end('SIGKILL');
  engines[1 - killed]!.release();
  const events = (await reading.readAll()).split('\n\n');
  // The held engine sends the same events for each call, so its first event occurs twice.
  t.is(events.length, 4);
  t.is(events[0], events[1]);
  t.is(events[2], 'data: [DONE]');
  t.is(engines[1 - killed]!.runCount, 1);
  t.is(await entry.end('SIGTERM'), 0);
  await sidecars[1 - killed]!.end('SIGTERM');
  for (const engine of engines) engine.close();
});
