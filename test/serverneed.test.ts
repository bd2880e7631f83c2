/*
 * Guards against entries that ignore a rate limit. An upstream names its limit in each answer, and each entry has to
 * obey it together with all other entries. Once, entries read nothing but the load from answers, and two engines with
 * limits of 2.3 and 2.9 requests per second were sent 10 to 16.
 */
import test from 'ava';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

const WINDOW_MS = 4000;
/** Tolerance over what a limit allows in a window: a factor, and a number of requests. */
const EXCESS = 1.5;
const SLACK = 5;
const ENTRIES = 5;
const REQUESTS_EACH = 40;

/** A request that reached an upstream. */
interface Arrival {
  readonly atMs: number;
}

function maxInWindow(arrivals: readonly Arrival[]): number {
  let most = 0;
  for (const [from, { atMs }] of arrivals.entries()) {
    const inWindow = arrivals.slice(from).filter((other) => other.atMs <= atMs + WINDOW_MS);
    most = Math.max(most, inWindow.length);
  }
  return most;
}

function allowed(limitPerS: number): number {
  return (EXCESS * limitPerS * WINDOW_MS) / 1000 + SLACK;
}

/** What the callers did and got. */
interface CallsOutcome {
  /** Paths of the requests that reached an entry after it had received the limit. */
  readonly informedPaths: ReadonlySet<string>;
  readonly statuses: ReadonlySet<number>;
}

/** Sends each entry one request after the other. */
async function callAll(rig: PlatformRig, limited: string, kind: string): Promise<CallsOutcome> {
  const informedPaths = new Set<string>();
  const statuses = new Set<number>();
  const headers: Record<string, string> = kind === 'draft' ? { 'Tarragonstile-Model': 'm1' } : {};
  const ask = async (entry: number): Promise<void> => {
    let isInformed = false;
    for (let at = 0; at < REQUESTS_EACH; at += 1) {
      const path = `/${kind}/${entry}-${at}`;
      if (isInformed) informedPaths.add(path);
      const answer = await callEntry(rig.portOf(entry), { path, headers });
      statuses.add(answer.status);
      if (answer.head.includes(`by-${limited}`)) isInformed = true;
    }
  };
  await Promise.all(Array.from({ length: ENTRIES }, (_one, entry) => ask(entry)));
  return { informedPaths, statuses };
}

const LIMIT_PER_S = 1;

for (const [kind, service] of [
  ['lookup', 'plain'],
  ['draft', 'engine'],
] as const) {
  test(`entries that know an upstream's limit obey it together: ${service}`, async (t) => {
    const rig = new PlatformRig();
    t.teardown(() => rig.close());
    const servers = ['limited', 'other'].map((id) => new PlatformServer(id, service));
    for (const server of servers) server.models.set('m1', new Set());
    await rig.start(servers, true, ENTRIES);
    const [limited] = servers;
    limited!.limitPerS = LIMIT_PER_S;
    const { informedPaths, statuses } = await callAll(rig, 'limited', kind);
    t.true(informedPaths.size > 0);
    // The other upstream has capacity for all of them.
    t.deepEqual([...statuses], [200]);
    const arrivals = limited!.requestLog.filter(({ path }) => informedPaths.has(path));
    t.true(maxInWindow(arrivals) <= allowed(LIMIT_PER_S), String(maxInWindow(arrivals)));
  });
}

test('if all upstreams are limited, callers are served at that rate or refused with a retry-after time', async (t) => {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  const server = new PlatformServer('only', 'plain');
  await rig.start([server]);
  server.limitPerS = LIMIT_PER_S;
  const ask = (at: number) => callEntry(rig.port, { path: `/lookup/${at}` });
  t.is((await ask(0)).status, 200);
  const answers = await Promise.all([1, 2, 3, 4, 5, 6].map(ask));
  const refused = answers.filter(({ status }) => status === 503);
  t.true(refused.length > 0);
  for (const { head, body } of refused) {
    t.regex(head, /retry-after: \d/i);
    t.regex(body, /upstreams-limited/);
    t.regex(body, /"executed":"no"/);
  }
  // A caller that retries is served in time, and once the limit is lifted no caller waits.
  let status = 503;
  for (let at = 7; status !== 200; at += 1) ({ status } = await ask(at));
  server.limitPerS = undefined;
  for (status = 503; status !== 200;) ({ status } = await ask(100));
  const later = await Promise.all([201, 202, 203, 204].map(ask));
  t.deepEqual(
    later.map((answer) => answer.status),
    [200, 200, 200, 200],
  );
});
