import test from 'ava';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

const MODEL = { 'Tarragonstile-Model': 'm1' };
const EVENTS = [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: piece ${id} by v1\n\n`).join('');

function engine(id: string, zone: string, ...models: string[]): PlatformServer {
  const server = new PlatformServer(id, 'engine', zone);
  for (const model of models) server.models.set(model, new Set());
  return server;
}

test('a stream reaches its caller completely', async (t) => {
  const rig = new PlatformRig();
  await rig.start([engine('e1', 'z1', 'm1')]);
  const answer = await callEntry(rig.port, { method: 'POST', path: '/draft/1', headers: MODEL });
  t.is(answer.status, 200);
  t.true(answer.isWhole);
  t.is(answer.body.replace('0\r\n\r\n', ''), EVENTS);
  rig.close();
});

test('a broken stream on a resumable route continues at another engine without loss or repetition', async (t) => {
  const rig = new PlatformRig();
  const [first, second] = [engine('e1', 'z1', 'm1'), engine('e2', 'z2', 'm1')];
  first.behaviors.push('cut');
  await rig.start([first, second]);
  const answer = await callEntry(rig.port, { method: 'POST', path: '/batch/1', headers: MODEL });
  t.true(answer.isWhole);
  t.is(answer.body.replace('0\r\n\r\n', ''), EVENTS);
  t.regex(answer.head, /by-e1/);
  t.is(second.runs[0]!['last-event-id'], '2');
  t.is(second.runs[0]!['tarragonstile-expect-version'], '1');
  rig.close();
});

test('a broken stream on a non-resumable route does not look complete', async (t) => {
  const rig = new PlatformRig();
  const [first, second] = [engine('e1', 'z1', 'm1'), engine('e2', 'z2', 'm1')];
  first.behaviors.push('cut');
  await rig.start([first, second]);
  const answer = await callEntry(rig.port, { method: 'POST', path: '/draft/1', headers: MODEL });
  t.false(answer.isWhole);
  t.is(second.runs.length, 0);
  rig.close();
});

test('an adapter that no engine has is loaded at an engine that has the model', async (t) => {
  const rig = new PlatformRig();
  const server = engine('e1', 'z1', 'm1');
  await rig.start([server]);
  await rig.until(() => rig.findLine('order turn taken') !== undefined);
  const headers = { 'Tarragonstile-Model': 'm1/a2' };
  const answer = await callEntry(rig.port, { method: 'POST', path: '/draft/1', headers });
  t.is(answer.status, 200);
  t.deepEqual([...server.models.get('m1')!], ['a2']);
  const [order] = server.orders;
  t.is(order!.holder, 'entry-1');
  t.true(order!.fencing_token > 0);
  rig.close();
});

test('concurrent requests for more adapters than slots never exceed the adapter slots', async (t) => {
  const rig = new PlatformRig();
  const server = engine('e1', 'z1', 'm1');
  let peak = 0;
  await rig.start([server]);
  const publish = server.onChange;
  server.onChange = () => {
    peak = Math.max(peak, server.models.get('m1')?.size ?? 0);
    publish();
  };
  await rig.until(() => rig.findLine('order turn taken') !== undefined);
  const requests = ['a1', 'a2', 'a3', 'a1', 'a2', 'a3'].map((adapter) => {
    const headers = { 'Tarragonstile-Model': `m1/${adapter}` };
    return callEntry(rig.port, { method: 'POST', path: '/draft/1', headers });
  });
  const answers = await Promise.all(requests);
  for (const { status } of answers) t.true(status === 200 || status === 503);
  t.true(answers.some(({ status }) => status === 200));
  t.is(peak, 2);
  rig.close();
});

/** Attempts of a caller that honours Retry-After; the first may come before an entry holds the order lease. */
const MAX_ATTEMPTS = 6;

test('a model that no engine holds is loaded, and a caller that honours Retry-After gets its answer', async (t) => {
  const rig = new PlatformRig();
  const server = engine('e1', 'z1', 'm1');
  await rig.start([server]);
  const headers = { 'Tarragonstile-Model': 'm3' };
  const statuses: number[] = [];
  while (statuses.length < MAX_ATTEMPTS && statuses.at(-1) !== 200) {
    const answer = await callEntry(rig.port, { method: 'POST', path: '/draft/1', headers });
    statuses.push(answer.status);
    if (answer.status === 200) break;
    t.is(answer.status, 503);
    const [, seconds] = /retry-after: ([\d.]+)/i.exec(answer.head) ?? [];
    t.true(Number(seconds) > 0 && Number(seconds) < 4);
    await new Promise((resolve) => {
      setTimeout(resolve, Number(seconds) * 1000);
    });
  }
  t.is(statuses.at(-1), 200);
  t.true(server.models.has('m3'));
  rig.close();
});

test('a stream completes although its engine was removed from the store', async (t) => {
  const rig = new PlatformRig();
  const server = engine('e1', 'z1', 'm1');
  server.behaviors.push('paused');
  await rig.start([server]);
  const asking = callEntry(rig.port, { method: 'POST', path: '/draft/1', headers: MODEL });
  await rig.until(() => server.runs.length === 1);
  rig.store.remove('servers/e1');
  await rig.until(() => rig.findLine('upstream gone') !== undefined);
  server.resumeStream();
  const answer = await asking;
  t.true(answer.isWhole);
  t.regex(answer.body, /piece 2/);
  rig.close();
});
