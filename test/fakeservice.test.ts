import test from 'ava';
import { request } from 'undici';
import type { RequestId } from '../src/base/index.js';
import { HttpService } from '../src/shell/engine/index.js';
import { FakeHostList, FakeService, fixedFaults, seededFaults } from '../standin/index.js';

function confirm(transferId: string) {
  const body = Buffer.from(JSON.stringify({ transferId }));
  const requestId = `request-${transferId}` as RequestId;
  return { requestId, method: 'POST', path: '/transfers', headers: [], body };
}

const neverAborted = new AbortController().signal;

test('an operation is counted if its answer is lost, but not if the request is lost', async (t) => {
  const faults = fixedFaults([{ type: 'none' }, { type: 'cut', afterTokens: 0 }, { type: 'loss' }]);
  const fake = new FakeService({ serviceMs: 0, faults });
  const service = new HttpService(await fake.listen(), 4);
  t.is((await service.call(confirm('t1'), neverAborted)).unwrap().status, 200);
  t.true((await service.call(confirm('t2'), neverAborted)).err);
  t.true((await service.call(confirm('t3'), neverAborted)).err);
  t.deepEqual(Object.fromEntries(fake.allRuns()), { t1: 1, t2: 1 });
  await service.close();
  fake.close();
});

test('the host list returns its content with the configured delay', async (t) => {
  const host = {
    id: 'h1',
    role: 'sidecar' as const,
    address: '127.0.0.1:1',
    availabilityZone: 'oviedo-a',
    region: 'cantabrico',
    state: 'live' as const,
  };
  const current = new FakeHostList();
  const late = new FakeHostList(60_000);
  const url = await current.listen();
  current.set([host]);
  late.set([host]);
  t.deepEqual(await (await request(url)).body.json(), [host]);
  t.deepEqual(late.visibleHosts(), []);
  current.close();
});

test('the same seed gives the same faults', (t) => {
  const shares = { delay: 0.2, loss: 0.2, crossing: 0.2, cut: 0.2 };
  const [first, second] = [seededFaults(7, shares), seededFaults(7, shares)];
  const drawn = Array.from({ length: 100 }, () => first.next());
  t.deepEqual(
    drawn,
    Array.from({ length: 100 }, () => second.next()),
  );
  t.is(new Set(drawn.map(({ type }) => type)).size, 5);
});
