import test from 'ava';
import { request } from 'undici';
import { startEntry, startSidecar } from '../src/index.js';
import { FakeEngine, FakeHostList, MemoryStore, StoreServer } from '../standin/index.js';
import { writeDocument } from './support/meshnode.js';
import { serviceDocument } from './support/servicedocument.js';

const LOCATION = { region: 'cantabrico', availabilityZone: 'oviedo-a', logLevel: 'error' };
const COMMON = { drainTimeoutMs: 2000, statsd: null, slots: 4 };
const POLL_MS = 10;
const TOKENS = 400;
/** A URL on which no process listens. */
const UNREACHABLE_URL = 'http://127.0.0.1:1';

function generate(url: string, key: string, model: string) {
  return request(`${url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}` },
    body: JSON.stringify({ model, stream: true, prompt: 'a letter', max_tokens: TOKENS }),
  });
}

async function status(
  url: string,
): Promise<{ readonly address: string; readonly revision: number }> {
  const answer = await request(`${url}/statusz`);
  return (await answer.body.json()) as { address: string; revision: number };
}

async function untilRevision(url: string, revision: number): Promise<void> {
  while ((await status(url)).revision < revision) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}

async function isComplete(answer: Awaited<ReturnType<typeof generate>>): Promise<boolean> {
  return (await answer.body.text()).endsWith('data: [DONE]\n\n');
}

test('a changed service document takes effect without a restart and without cutting requests', async (t) => {
  const memory = new MemoryStore();
  const storeServer = new StoreServer(memory);
  const hostList = new FakeHostList();
  const engines = [1, 2].map(() => new FakeEngine({ tokenMs: 5, tokens: TOKENS }));
  const store = {
    urls: [await storeServer.listen()],
    readsPerSecond: 20,
    writesPerSecond: 10,
    timeoutMs: 2000,
  };
  const list = { url: await hostList.listen(), pollMs: 100, timeoutMs: 1000 };
  const common = { ...LOCATION, ...COMMON, store, hostList: list };
  const sidecars = await Promise.all(
    engines.map(async (engine, index) =>
      startSidecar({
        ...common,
        hostId: `redactor-${index + 1}`,
        upstream: `redactor-${index + 1}`,
        service: 'redactor',
        listen: '127.0.0.1:0',
        upstreamUrl: await engine.listen(),
        upstreamType: 'engine',
      }),
    ),
  );
  const entry = await startEntry({
    ...common,
    hostId: 'entry-1',
    listen: { host: '127.0.0.1', port: 0 },
    meshListen: '127.0.0.1:0',
    bodyBytes: 100_000,
  });
  const url = `http://127.0.0.1:${entry.port}`;
  const addresses = sidecars.map(({ port }) => `127.0.0.1:${port}`);
  const place = { availabilityZone: 'oviedo-a', region: 'cantabrico', state: 'live' as const };
  hostList.set([
    { ...place, id: 'entry-1', role: 'entry', address: (await status(url)).address },
    { ...place, id: 'redactor-1', role: 'sidecar', address: addresses[0] ?? '' },
    { ...place, id: 'redactor-2', role: 'sidecar', address: addresses[1] ?? '' },
  ]);

  const before = { sidecarAddresses: addresses.slice(0, 1), keys: ['old-key'] };
  await untilRevision(url, await writeDocument(memory, 'redactor', serviceDocument(before)));
  const running = await generate(url, 'old-key', 'notice-1');
  t.is(running.statusCode, 200);

  const after = {
    sidecarAddresses: addresses,
    keys: ['new-key'],
    models: ['notice-1', 'notice-2'],
  };
  await untilRevision(url, await writeDocument(memory, 'redactor', serviceDocument(after)));
  t.false(running.body.readableEnded);
  t.is((await generate(url, 'old-key', 'notice-1')).statusCode, 401);
  const added = await generate(url, 'new-key', 'notice-2');
  t.is(added.statusCode, 200);
  t.true(await isComplete(added));
  t.true(await isComplete(running));

  await entry.stop();
  await Promise.all(sidecars.map((sidecar) => sidecar.stop()));
  for (const engine of engines) engine.close();
  hostList.close();
  await storeServer.close();
});

test('an entry that has not read its configuration yet refuses requests and is not ready', async (t) => {
  const entry = await startEntry({
    ...LOCATION,
    drainTimeoutMs: 1000,
    hostId: 'entry-1',
    listen: { host: '127.0.0.1', port: 0 },
    bodyBytes: 100_000,
    store: { urls: [UNREACHABLE_URL], readsPerSecond: 20, writesPerSecond: 10, timeoutMs: 100 },
  });
  const url = `http://127.0.0.1:${entry.port}`;
  const answer = await generate(url, 'any-key', 'notice-1');
  t.is(answer.statusCode, 503);
  t.is(answer.headers['retry-after'], '1');
  const { type, executed } = (await answer.body.json()) as { type: string; executed: string };
  t.deepEqual({ type, executed }, { type: 'urn:tarragonstile:catching-up', executed: 'no' });
  const ready = await request(`${url}/readyz`);
  t.is(ready.statusCode, 503);
  await ready.body.dump();
  await entry.stop();
});
