import test from 'ava';
import { VirtualClock, type UpstreamId } from '../src/base/index.js';
import { PolicyRouter } from '../src/entry/routing/index.js';
import { MemoryStore } from '../standin/index.js';
import { fakeContext } from './support/fakecontext.js';

const SERVICE = 'redactor' as never;
const A = 'redactor-1' as UpstreamId;

test('a suspected upstream is probed until it answers, and is then ready again', (t) => {
  const clock = new VirtualClock();
  let isBack = false;
  let askedCount = 0;
  const context = fakeContext('entry-1', clock, new MemoryStore({ clock }), () => undefined);
  const describe = (...args: readonly unknown[]) => {
    askedCount += 1;
    (args[3] as (error: Error | null) => void)(isBack ? null : new TypeError('unreachable'));
  };
  const link = { client: () => ({ describe }) };
  const groups = [{ type: 'engine', upstreams: [{ id: A, sidecarAddress: '127.0.0.1:1' }] }];
  const documents = () => [{ service: SERVICE, groups, models: [] }];
  const directory = { revision: () => 1, documents };
  const router = new PolicyRouter({ ...context, link } as never, directory as never);
  for (let call = 0; call < 3; call += 1) router.observe(SERVICE, { type: 'failed', upstream: A });
  t.is(router.phases(SERVICE).get(A), 'suspect');
  clock.advanceTo(8_000);
  t.is(router.phases(SERVICE).get(A), 'suspect');
  t.is(askedCount, 3, 'after 1, 2 and 4 seconds');
  isBack = true;
  clock.advanceTo(20_000);
  t.is(router.phases(SERVICE).get(A), 'ready');
  const asked = askedCount;
  clock.advanceTo(60_000);
  t.is(askedCount, asked, 'no probe follows once the upstream is ready');
  router.close();
});
