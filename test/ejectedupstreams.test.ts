import test from 'ava';
import { endlessKinds, PlatformServer } from '../standin/platform/index.js';
import { ejectionRules } from '../src/core/ejection/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';
import { RunRig } from './support/runrig.js';

const BOUND = { ratio: 0.2, slack: 50, windowMs: 10_000 };
const SLOTS = 16;
const UPSTREAMS = ['u1', 'u2', 'u3'];
const FAULTY = 'u1';
/** At 100 requests a second, two of the three upstreams run three quarters of what they have slots for. */
const ANSWER_MS = 240;
const MS_PER_REQUEST = 10;

function startRig(
  loadAware: 'on' | 'off',
  route: ConstructorParameters<typeof RunRig>[1] = {},
): RunRig {
  const rig = new RunRig(BOUND, route);
  rig.fleet.setLoadMode(loadAware);
  for (const id of UPSTREAMS) rig.add(id, SLOTS);
  rig.answerMs = ANSWER_MS;
  return rig;
}

/** Asks 100 requests a second, and waits for their ends. */
async function askFor(rig: RunRig, ms: number): Promise<void> {
  for (let spentMs = 0; spentMs < ms; spentMs += MS_PER_REQUEST) await rig.ask(1);
}

/** Returns the requests that reached the faulty upstream from a time on. */
function faultyArrivals(rig: RunRig, fromMs = 0): number {
  return rig.arrivals.filter(({ upstream, atMs }) => upstream === FAULTY && atMs >= fromMs).length;
}

for (const loadAware of ['on', 'off'] as const) {
  // Guards against an upstream that stays in service although its answers are rejected: each costs a retry.
  test(`after a rejected answer only probes are sent, load-aware ${loadAware}`, async (t) => {
    const rig = startRig(loadAware);
    rig.rejecting.add(FAULTY);
    await askFor(rig, 3000);
    await rig.pass(ANSWER_MS);
    // Probes are due about 200, 600, 1,400 and 3,000 ms after the first rejection.
    t.true(faultyArrivals(rig) <= 5, `${faultyArrivals(rig)}`);
    t.is(rig.statuses.length, 300);
    t.true(rig.statuses.every((status) => status === 200));
  });

  // Guards against requests that may not be repeated and end with 502 as long as one upstream is faulty.
  test(`a request that may not be repeated is no probe, load-aware ${loadAware}`, async (t) => {
    const rig = startRig(loadAware, { kind: 'non-idempotent' });
    rig.rejecting.add(FAULTY);
    await askFor(rig, 5000);
    await rig.pass(ANSWER_MS);
    t.is(rig.statuses.filter((status) => status === 200).length, 499);
    t.is(rig.statuses.filter((status) => status === 502).length, 1);
    t.is(faultyArrivals(rig), 1);
  });

  // Guards against an upstream that gets no requests any more, or few, although its fault is over.
  test(`a sound answer brings an upstream back, load-aware ${loadAware}`, async (t) => {
    const rig = startRig(loadAware);
    rig.rejecting.add(FAULTY);
    await askFor(rig, 2000);
    rig.rejecting.clear();
    await askFor(rig, ejectionRules.maxMs);
    const fromMs = rig.clock.nowMs();
    await askFor(rig, 2000);
    t.true(faultyArrivals(rig, fromMs) >= 50, `${faultyArrivals(rig, fromMs)}`);
    t.is(rig.lines.filter(({ message }) => message === 'upstream restored').length, 1);
  });

  // Guards against a single crossed answer that takes an upstream's capacity away for long.
  test(`one rejected answer ejects for less than a second, load-aware ${loadAware}`, async (t) => {
    const rig = startRig(loadAware);
    await askFor(rig, 500);
    rig.rejecting.add(FAULTY);
    const before = faultyArrivals(rig);
    while (faultyArrivals(rig) === before) await rig.ask(1);
    rig.rejecting.clear();
    await askFor(rig, 1000);
    const fromMs = rig.clock.nowMs();
    await askFor(rig, 1000);
    t.true(faultyArrivals(rig, fromMs) >= 25, `${faultyArrivals(rig, fromMs)}`);
  });

  // Guards against refusals of requests that an ejected upstream might serve.
  test(`upstreams that are all ejected are tried all the same, load-aware ${loadAware}`, async (t) => {
    const rig = startRig(loadAware, { kind: 'non-idempotent' });
    for (const id of UPSTREAMS) rig.rejecting.add(id);
    await askFor(rig, 1000);
    t.is(rig.arrivals.length, 100);
    // The least recently rejected one is next.
    t.is(new Set(rig.arrivals.slice(-3).map(({ upstream }) => upstream)).size, 3);
    rig.rejecting.clear();
    const before = rig.statuses.length;
    await askFor(rig, 1000);
    await rig.pass(ANSWER_MS);
    t.true(rig.statuses.slice(before).every((status) => status === 200));
  });

  // Guards against an upstream that has started again under its id and is held to what came before.
  test(`an upstream that has started again begins anew, load-aware ${loadAware}`, async (t) => {
    const rig = startRig(loadAware);
    rig.rejecting.add(FAULTY);
    await askFor(rig, 1000);
    rig.rejecting.clear();
    rig.remove(FAULTY);
    rig.add(FAULTY, SLOTS);
    const fromMs = rig.clock.nowMs();
    await askFor(rig, 500);
    t.true(faultyArrivals(rig, fromMs) >= 10, `${faultyArrivals(rig, fromMs)}`);
  });
}

for (const kind of ['idempotent', 'streaming'] as const) {
  // Guards against an upstream whose answers go on until the route's timeout and that stays in service, and against
  // one that is ejected for a single slow answer.
  test(`several answers without end eject an upstream, and one does not: ${kind}`, async (t) => {
    const rig = startRig('off', { kind, timeoutMs: 2000 });
    rig.endless.add(FAULTY);
    await rig.ask(1);
    await rig.pass(2000);
    t.is(faultyArrivals(rig), 1);
    t.is(rig.fleet.ejectedCount, 0);
    for (let count = 0; count < UPSTREAMS.length * ejectionRules.endlessCount; count += 1) {
      await rig.ask(1);
    }
    await rig.pass(2000);
    t.is(rig.fleet.ejectedCount, 1);
  });
}

/** Kinds whose answers are rejected within a fraction of the route's timeout on a busy machine, by the route. */
const REJECTED: readonly (readonly [keyof typeof endlessKinds, 'lookup' | 'batch'])[] = [
  ['chunks of one byte of another answer', 'lookup'],
  ['a status line', 'lookup'],
  ['header fields', 'lookup'],
  ['a chunk extension', 'lookup'],
  ['a trailer', 'lookup'],
  ['header fields', 'batch'],
  ['one event', 'batch'],
];
const MODEL = { 'Tarragonstile-Model': 'm1' };
const WAVES = 4;
/** As many as the entry may have under way at two of the servers. */
const WAVE = 6;

function serverAt(at: number, service: 'plain' | 'engine'): PlatformServer {
  const server = new PlatformServer(`s${at}`, service);
  if (service === 'engine') server.models.set('m1', new Set());
  server.behaviors.push(...Array.from({ length: WAVES * WAVE }, () => 'slow' as const));
  return server;
}

for (const [kind, route] of REJECTED) {
  // Guards against further requests that are sent to an upstream after its answers were rejected.
  test(`an entry sends probes alone to a server that sends ${kind} at ${route}`, async (t) => {
    const service = route === 'lookup' ? 'plain' : 'engine';
    const servers = [1, 2, 3].map((at) => serverAt(at, service));
    const rig = new PlatformRig();
    t.teardown(() => rig.close());
    await rig.start(servers);
    const [faulty] = servers as [PlatformServer];
    faulty.endless = endlessKinds[kind];
    const ask = (wave: number) =>
      Promise.all(
        Array.from({ length: WAVE }, async (_, at) => {
          const path = `/${route}/${wave}-${at}`;
          const headers = service === 'engine' ? MODEL : {};
          return (await callEntry(rig.port, { method: 'POST', path, headers })).status;
        }),
      );
    const statuses = await ask(0);
    const inFirstWave = faulty.requestLog.length;
    t.true(inFirstWave > 0);
    for (let wave = 1; wave < WAVES; wave += 1) statuses.push(...(await ask(wave)));
    t.deepEqual(new Set(statuses), new Set([200]));
    // Each probe that fails is logged as a further ejection.
    const ejections = rig.lines.filter(({ message }) => message === 'upstream ejected');
    const probes = faulty.requestLog.length - inFirstWave;
    t.log({ inFirstWave, probes, ejections: ejections.length });
    t.true(ejections.length > 0);
    // The first ejection is of the first wave; one more probe may be under way.
    t.true(probes <= ejections.length, `${probes} of ${ejections.length}`);
    t.true(ejections.every(({ fields }) => fields.upstream === faulty.id));
  });
}
