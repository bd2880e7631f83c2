/*
 * What users saw: two of thirteen engines had asked for less, one for 2.3 requests a second and one for 2.9, and went on
 * to get 10 to 16 a second each, to the end of the day. Nothing was refused or lost; the servers' operators saw that
 * what they had asked for changed nothing.
 *
 * Order of events: a server in need names a limit in each of its answers. All five entries pass such answers on within
 * a second, and go on to choose the server as before.
 */
import test from 'ava';
import { PlatformServer } from '../standin/platform/index.js';
import { askEntry } from './support/askentry.js';
import { PlatformRig } from './support/platformrig.js';

const WINDOW_MS = 4000;
/** Of what a limit allows in a window, and beyond it. */
const EXCESS = 1.5;
const SLACK = 5;
const ENTRIES = 5;
const REQUESTS_EACH = 40;

/** A request that reached a server. */
interface Arrival {
  readonly atMs: number;
}

function mostInWindow(arrivals: readonly Arrival[]): number {
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

/** What became of the requests of all callers. */
interface Asked {
  /** Paths of those that came to an entry after it had been told. */
  readonly toldPaths: ReadonlySet<string>;
  readonly statuses: ReadonlySet<number>;
}

/** Asks each entry one request after the other. */
async function askAll(rig: PlatformRig, needy: string, kind: string): Promise<Asked> {
  const toldPaths = new Set<string>();
  const statuses = new Set<number>();
  const headers: Record<string, string> = kind === 'draft' ? { 'Tarragonstile-Model': 'm1' } : {};
  const ask = async (entry: number): Promise<void> => {
    let isTold = false;
    for (let at = 0; at < REQUESTS_EACH; at += 1) {
      const path = `/${kind}/${entry}-${at}`;
      if (isTold) toldPaths.add(path);
      const answer = await askEntry(rig.portOf(entry), { path, headers });
      statuses.add(answer.status);
      if (answer.head.includes(`by-${needy}`)) isTold = true;
    }
  };
  await Promise.all(Array.from({ length: ENTRIES }, (_one, entry) => ask(entry)));
  return { toldPaths, statuses };
}

const LIMIT_PER_S = 1;

for (const [kind, service] of [
  ['lookup', 'plain'],
  ['draft', 'engine'],
] as const) {
  test(`entries that a server has told of its limit keep it together: ${service}`, async (t) => {
    const rig = new PlatformRig();
    t.teardown(() => rig.close());
    const servers = ['needy', 'other'].map((id) => new PlatformServer(id, service));
    for (const server of servers) server.models.set('m1', new Set());
    await rig.start(servers, true, ENTRIES);
    const [needy] = servers;
    needy!.limitPerS = LIMIT_PER_S;
    const { toldPaths, statuses } = await askAll(rig, 'needy', kind);
    t.true(toldPaths.size > 0);
    // The other server has room for all of them.
    t.deepEqual([...statuses], [200]);
    const arrivals = needy!.seen.filter(({ path }) => toldPaths.has(path));
    t.true(mostInWindow(arrivals) <= allowed(LIMIT_PER_S), String(mostInWindow(arrivals)));
  });
}
