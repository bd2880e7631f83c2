import test, { type ExecutionContext } from 'ava';
import { setTimeout as pause } from 'node:timers/promises';
import type { RequestId } from '../src/base/index.js';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PartialStream } from './support/partialstream.js';
import { PlatformRig } from './support/platformrig.js';

type Answer = Awaited<ReturnType<typeof callEntry>>;

const MODEL = { 'Tarragonstile-Model': 'm1' };
const PATH = '/batch/1';
const FIRST_ID = 'first-attempt';
/** Far below the deadline of a request. */
const AT_ONCE_MS = 2000;
const ENTRY_COUNT = 3;
/** Other entries are told of a stream within some tens of ms. */
const TOLD_MS = 300;
/** Number of events of a whole stream. */
const EVENT_COUNT = 5;

function openRig(t: ExecutionContext): PlatformRig {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  return rig;
}

/** Creates an engine; the entries prefer one in z1, as they are there themselves. */
function engine(id: string, softwareVersion: string, zone: string): PlatformServer {
  const server = new PlatformServer(id, 'engine', zone);
  server.models.set('m1', new Set());
  return Object.assign(server, { softwareVersion });
}

/** Takes the stream up at an entry as its caller does: after its first event, naming its first attempt. */
function takeUp(rig: PlatformRig, at: number, resumes?: string): Promise<Answer> {
  const headers: Record<string, string> = { ...MODEL, 'Last-Event-Id': '1' };
  if (resumes !== undefined) headers.Resumes = resumes;
  return callEntry(rig.portOf(at), { method: 'POST', path: PATH, headers });
}

function versionsIn(text: string): string[] {
  return [...new Set([...text.matchAll(/ by (v[\d.]+)/g)].map(([, version]) => version!))];
}

/** Waits until all entries know with what a stream began. */
function untilCopied(rig: PlatformRig): Promise<void> {
  const entries = Array.from({ length: ENTRY_COUNT }, (_, at) => rig.entryOf(at));
  return rig.until(() => entries.every(({ origins }) => origins.size === 1));
}

/** Begins a stream at the first entry and the engine `begun`, and returns it once its first event has come. */
async function begin(rig: PlatformRig, begun: PlatformServer): Promise<PartialStream> {
  begun.behaviors.push('paused');
  await rig.untilAcquainted();
  const stream = new PartialStream(rig.portOf(0), { id: FIRST_ID, path: PATH, headers: MODEL });
  await rig.until(() => stream.eventCount === 1);
  return stream;
}

test('a stream that breaks does not go on at another software version, and is cut at once', async (t) => {
  const rig = openRig(t);
  const [first, other] = [engine('e1', 'v1', 'z1'), engine('e2', 'v1.1', 'z2')];
  first.behaviors.push('cut');
  await rig.start([first, other]);
  const startedAtMs = performance.now();
  const answer = await callEntry(rig.port, { method: 'POST', path: PATH, headers: MODEL });
  t.false(answer.isWhole);
  t.deepEqual(versionsIn(answer.body), ['v1']);
  t.is(other.runs.length, 0);
  t.true(performance.now() - startedAtMs < AT_ONCE_MS);
});

test('a stream that breaks goes on at the software version that began it', async (t) => {
  const rig = openRig(t);
  const first = engine('e1', 'v1', 'z1');
  await rig.start([first]);
  const stream = await begin(rig, first);
  const [other, same] = [engine('e2', 'v1.1', 'z1'), engine('e3', 'v1', 'z2')];
  await rig.add(other);
  await rig.add(same);
  await rig.untilLogged(1, 'upstream listed', ({ upstream }) => upstream === 'e3');
  first.close();
  await rig.until(() => stream.eventCount === EVENT_COUNT);
  t.deepEqual(versionsIn(stream.text), ['v1']);
  t.is(other.runs.length, 0);
});

test('a stream that its caller takes up at another entry goes on at the version that began it', async (t) => {
  const rig = openRig(t);
  const first = engine('e1', 'v1', 'z1');
  await rig.start([first], true, ENTRY_COUNT);
  const stream = await begin(rig, first);
  const [other, same] = [engine('e2', 'v1.1', 'z1'), engine('e3', 'v1', 'z2')];
  await rig.add(other);
  await rig.add(same);
  rig.publish(first, 'draining');
  await rig.untilLogged(ENTRY_COUNT, 'upstream leaving');
  await untilCopied(rig);
  stream.leave();
  const answer = await takeUp(rig, 1, FIRST_ID);
  t.is(answer.status, 200, answer.body);
  t.deepEqual(versionsIn(answer.body), ['v1']);
  t.is(other.runs.length, 0);
});

test('a stream whose entry was killed is taken up at the version that began it', async (t) => {
  const rig = openRig(t);
  const first = engine('e1', 'v1', 'z1');
  const [other, same] = [engine('e2', 'v1.1', 'z2'), engine('e3', 'v1', 'z2')];
  await rig.start([first, other, same], true, ENTRY_COUNT);
  await begin(rig, first);
  rig.publish(first, 'draining');
  await rig.untilLogged(ENTRY_COUNT, 'upstream leaving');
  await untilCopied(rig);
  rig.stopEntry(0);
  const answers = [await takeUp(rig, 1, FIRST_ID), await takeUp(rig, 2, FIRST_ID)];
  for (const { status, body } of answers) {
    t.is(status, 200, body);
    t.deepEqual(versionsIn(body), ['v1']);
  }
  t.is(other.runs.length, 0);
});

// Guards against an entry that misses the second of two messages and continues the stream at the first one's version.
test('other entries are told of a stream only when its version is certain', async (t) => {
  const rig = openRig(t);
  const [first, other] = [engine('e1', 'v1', 'z1'), engine('e2', 'v1.1', 'z2')];
  await rig.start([first, other], true, ENTRY_COUNT);
  await rig.untilAcquainted();
  first.behaviors.push('silent');
  other.behaviors.push('paused');
  const stream = new PartialStream(rig.portOf(0), { id: FIRST_ID, path: PATH, headers: MODEL });
  await rig.until(() => first.runs.length === 1);
  await pause(TOLD_MS);
  const entries = Array.from({ length: ENTRY_COUNT }, (_, at) => rig.entryOf(at));
  t.deepEqual(
    entries.map(({ origins }) => origins.size),
    [0, 0, 0],
  );
  first.close();
  await rig.until(() => stream.eventCount === 1);
  await untilCopied(rig);
  for (const { origins } of entries) {
    const answer = origins.answer(FIRST_ID as RequestId);
    t.is(answer.type === 'known' ? answer.origin.softwareVersion : answer.type, 'v1.1');
  }
});

test('a stream that its caller takes up goes on with the weights that began it', async (t) => {
  const rig = openRig(t);
  const first = engine('e1', 'v1', 'z1');
  const [newer, same] = [engine('e2', 'v1', 'z1'), engine('e3', 'v1', 'z2')];
  newer.weightsVersion = 2;
  await rig.start([first], true, ENTRY_COUNT);
  const stream = await begin(rig, first);
  await rig.add(newer);
  await rig.add(same);
  rig.publish(first, 'draining');
  await rig.untilLogged(ENTRY_COUNT, 'upstream leaving');
  stream.leave();
  const answer = await takeUp(rig, 0, FIRST_ID);
  t.is(answer.status, 200, answer.body);
  t.is(newer.runs.length, 0);
  t.is(same.runs.length, 1);
});

test('a stream of which nobody knows the version is refused as not run while several versions serve', async (t) => {
  const rig = openRig(t);
  const engines = [engine('e1', 'v1', 'z1'), engine('e2', 'v1.1', 'z2')];
  await rig.start(engines, true, ENTRY_COUNT);
  await rig.untilAcquainted();
  const startedAtMs = performance.now();
  const answers = [await takeUp(rig, 1, 'unknown-attempt'), await takeUp(rig, 1)];
  for (const { status, body } of answers) {
    t.is(status, 503);
    t.regex(body, /"executed":"no"/);
  }
  t.true(performance.now() - startedAtMs < AT_ONCE_MS);
  for (const { runs } of engines) t.is(runs.length, 0);
});

test('a stream of which nobody knows the version goes on while one version alone has served', async (t) => {
  const rig = openRig(t);
  await rig.start([engine('e1', 'v1', 'z1')], true, ENTRY_COUNT);
  await rig.untilAcquainted();
  for (const answer of [await takeUp(rig, 1, 'unknown-attempt'), await takeUp(rig, 2)]) {
    t.is(answer.status, 200, answer.body);
    t.regex(answer.body, /id: 2\n/);
  }
});
