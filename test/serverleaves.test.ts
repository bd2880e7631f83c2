/*
 * Guards against entries that ignore what an upstream reports in its answers while the list is out of date. During an
 * outage of the store an engine reported that it leaves, and all entries sent it requests for 13 s, until it was gone:
 * they went by the list alone, which was older. A mark in the list's record would not do, since the next reading of
 * the list overwrites it.
 *
 * Likewise an upstream that refuses with a retry-after time asks the entry for a backoff. Avoiding it for only 60 ms
 * sent it every request for which the other upstreams had no capacity.
 */
import test from 'ava';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

const REQUESTS = 30;
/** Requests that an entry may send to an upstream during its backoff. */
const MAX_IN_BACKOFF = 2;
const ENTRIES = 2;

const KINDS = [
  ['lookup', 'plain'],
  ['draft', 'engine'],
] as const;

function pair(service: string): [PlatformServer, PlatformServer] {
  const first = new PlatformServer('first', service);
  // In another zone, so that the first one is preferred.
  const second = new PlatformServer('second', service, 'z2');
  for (const server of [first, second]) server.models.set('m1', new Set());
  return [first, second];
}

function headersOf(kind: string): Record<string, string> {
  return kind === 'draft' ? { 'Tarragonstile-Model': 'm1' } : {};
}

for (const [kind, service] of KINDS) {
  test(`an upstream that reports in an answer that it leaves gets no further requests: ${service}`, async (t) => {
    const rig = new PlatformRig();
    t.teardown(() => rig.close());
    const [first, second] = pair(service);
    await rig.start([first, second], true, ENTRIES);
    first.isLeaving = true;
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      const ask = (at: number) =>
        callEntry(rig.portOf(entry), { path: `/${kind}/${entry}-${at}`, headers: headersOf(kind) });
      let at = 0;
      // This entry may know from another one already.
      let { head, status } = await ask(at);
      t.is(status, 200);
      if (!head.includes('by-first')) continue;
      const before = first.requestLog.length;
      for (at = 1; at <= REQUESTS; at += 1) {
        ({ head, status } = await ask(at));
        t.is(status, 200);
      }
      t.is(first.requestLog.length, before);
      // The list is older than the answer and must not override it.
      rig.publish(first);
      for (; at <= 2 * REQUESTS; at += 1) t.is((await ask(at)).status, 200);
      t.is(first.requestLog.length, before);
    }
  });

  test(`an upstream that asks an entry for a backoff gets no requests from it until then: ${service}`, async (t) => {
    const rig = new PlatformRig();
    t.teardown(() => rig.close());
    const [first, second] = pair(service);
    await rig.start([first, second]);
    first.behaviors.push('pause');
    const headers = headersOf(kind);
    for (let at = 0; at < REQUESTS; at += 1) {
      // While the other upstream is busy, one that is only avoided would be sent requests again.
      second.behaviors.push('full');
      await callEntry(rig.port, { path: `/${kind}/${at}`, headers });
    }
    t.true(first.requestLog.length + first.refusals.length - 1 <= MAX_IN_BACKOFF);
  });
}

test('if all upstreams ask for a backoff, a request is refused at once with the shortest remaining time', async (t) => {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  const [first, second] = pair('plain');
  [first.retryAfterText, second.retryAfterText] = ['40', '60.5'];
  await rig.start([first, second]);
  first.behaviors.push('pause');
  second.behaviors.push('pause');
  const { status, head, body } = await callEntry(rig.port, { path: '/lookup/1' });
  t.is(status, 503);
  t.regex(body, /upstreams-paused/);
  const retryAfterS = Number(/retry-after: ([\d.]+)/i.exec(head)?.[1]);
  t.true(retryAfterS > 30 && retryAfterS <= 41.5, String(retryAfterS));
  t.is(first.refusals.length + second.refusals.length, 2);
});

test('if all upstreams of a service leave, a request is refused at once and has not run', async (t) => {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  const [first, second] = pair('plain');
  await rig.start([first, second]);
  for (const server of [first, second]) server.isLeaving = true;
  for (const at of [1, 2]) t.is((await callEntry(rig.port, { path: `/lookup/${at}` })).status, 200);
  const ranCount = first.requestLog.length + second.requestLog.length;
  const { status, body } = await callEntry(rig.port, { path: '/lookup/3' });
  t.is(status, 503);
  t.regex(body, /"executed":"no"/);
  t.is(first.requestLog.length + second.requestLog.length, ranCount);
});
