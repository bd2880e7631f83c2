/*
 * What users saw: an engine had said that it leaves, and went on to get 2 to 5 requests a second from all five entries until
 * it had gone, 13 s later; two of them more than 2 s after an answer had told the entry. Nothing failed that day: the
 * engine ran what it got.
 *
 * Order of events: the store falls silent; half a second later the engine says that it leaves, which the store takes in
 * only 12 s after that. The engine's answers say so at once, and two entries pass such answers on. The list, which is
 * all that entries go by, still has the engine as ready.
 *
 * Cause: an entry knew that an upstream leaves from the list alone. What the upstream itself said in its answers was not read;
 * and a mark beside the list's entry would have been wiped out by the next reading of a list that knows nothing of it.
 *
 * Evidence: in the play of the recorded day all five entries sent to the engine from the first answer that said so to its end, and
 * the list of all five was older than that, as `store lost` says 0.9 s before and after. On stand-ins an entry that was told
 * sent the server all of its next 30 requests.
 *
 * Of the same kind: a server that turns an entry away with a time to come back wants nothing from it until then. That time
 * was not read either: the server was chosen last for 60 ms, so that it got each request that its others had no room for.
 */
import test from 'ava';
import { PlatformServer } from '../standin/platform/index.js';
import { askEntry } from './support/askentry.js';
import { PlatformRig } from './support/platformrig.js';

const REQUESTS = 30;
/** A server that has answered an entry with a time to come back gets no more than this from it until then. */
const MOST_IN_PAUSE = 2;
const ENTRIES = 2;

const KINDS = [
  ['lookup', 'plain'],
  ['draft', 'engine'],
] as const;

function pair(service: string): [PlatformServer, PlatformServer] {
  const first = new PlatformServer('first', service);
  // In another zone, so that the first one is asked first.
  const second = new PlatformServer('second', service, 'z2');
  for (const server of [first, second]) server.models.set('m1', new Set());
  return [first, second];
}

function headersOf(kind: string): Record<string, string> {
  return kind === 'draft' ? { 'Tarragonstile-Model': 'm1' } : {};
}

for (const [kind, service] of KINDS) {
  test(`a server that says in an answer that it leaves gets nothing more: ${service}`, async (t) => {
    const rig = new PlatformRig();
    t.teardown(() => rig.close());
    const [first, second] = pair(service);
    await rig.start([first, second], true, ENTRIES);
    first.isLeaving = true;
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      const ask = (at: number) =>
        askEntry(rig.portOf(entry), { path: `/${kind}/${entry}-${at}`, headers: headersOf(kind) });
      let at = 0;
      // Another entry may have told this one.
      let { head, status } = await ask(at);
      t.is(status, 200);
      if (!head.includes('by-first')) continue;
      const before = first.seen.length;
      for (at = 1; at <= REQUESTS; at += 1) {
        ({ head, status } = await ask(at));
        t.is(status, 200);
      }
      t.is(first.seen.length, before);
      // The list is older than the answer, whatever it says now.
      rig.list(first);
      for (; at <= 2 * REQUESTS; at += 1) t.is((await ask(at)).status, 200);
      t.is(first.seen.length, before);
    }
  });

  test(`a server that turns an entry away for a time gets nothing from it until then: ${service}`, async (t) => {
    const rig = new PlatformRig();
    t.teardown(() => rig.close());
    const [first, second] = pair(service);
    await rig.start([first, second]);
    first.manners.push('pause');
    const headers = headersOf(kind);
    for (let at = 0; at < REQUESTS; at += 1) {
      // With its other server busy, one that is only avoided is asked again.
      second.manners.push('full');
      await askEntry(rig.port, { path: `/${kind}/${at}`, headers });
    }
    t.true(first.seen.length + first.turnedAway.length - 1 <= MOST_IN_PAUSE);
  });
}

test('where all servers want a pause, a request is refused at once, with the least time that is left', async (t) => {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  const [first, second] = pair('plain');
  [first.pauseText, second.pauseText] = ['40', '60.5'];
  await rig.start([first, second]);
  first.manners.push('pause');
  second.manners.push('pause');
  const { status, head, body } = await askEntry(rig.port, { path: '/lookup/1' });
  t.is(status, 503);
  t.regex(body, /upstreams-paused/);
  const toldS = Number(/retry-after: ([\d.]+)/i.exec(head)?.[1]);
  t.true(toldS > 30 && toldS <= 41.5, String(toldS));
  t.is(first.turnedAway.length + second.turnedAway.length, 2);
});

test('where all servers of a service leave, a request is refused at once and has not run', async (t) => {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  const [first, second] = pair('plain');
  await rig.start([first, second]);
  for (const server of [first, second]) server.isLeaving = true;
  for (const at of [1, 2]) t.is((await askEntry(rig.port, { path: `/lookup/${at}` })).status, 200);
  const ranCount = first.seen.length + second.seen.length;
  const { status, body } = await askEntry(rig.port, { path: '/lookup/3' });
  t.is(status, 503);
  t.regex(body, /"executed":"no"/);
  t.is(first.seen.length + second.seen.length, ranCount);
});
