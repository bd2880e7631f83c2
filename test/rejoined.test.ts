import test, { type ExecutionContext } from 'ava';
import type { UpstreamId } from '../src/base/index.js';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PartialStream } from './support/partialstream.js';
import { PlatformRig } from './support/platformrig.js';

const MODEL = { 'Tarragonstile-Model': 'm1' };
const PATH = '/batch/1';
const FIRST_ID = 'first-attempt';
const ENTRIES = [0, 1, 2];
const ROUNDS = 4;
const ORIGINS_PREFIX = 'tarragonstile/stream-origins/';

interface Scene {
  readonly rig: PlatformRig;
  readonly old: PlatformServer;
  readonly next: PlatformServer;
}

/** When the engine of the old version is replaced, in relation to the kill of all entries. */
type Replacement = (scene: Scene) => Promise<void>;

function engine(id: string, softwareVersion: string): PlatformServer {
  const server = new PlatformServer(id, 'engine');
  server.models.set('m1', new Set());
  return Object.assign(server, { softwareVersion });
}

function kill({ rig }: Scene): void {
  for (const at of ENTRIES) rig.stopEntry(at);
}

async function replace({ rig, old, next }: Scene): Promise<void> {
  await rig.add(next);
  rig.store.remove(`servers/${old.id}`);
  old.close();
}

/** Waits until every entry lists the new engine. */
function untilListed({ rig, next }: Scene): Promise<void> {
  return rig.untilLogged(ENTRIES.length, 'upstream listed', ({ upstream }) => upstream === next.id);
}

function isStored({ rig }: Scene): boolean {
  return rig.store.model.list(ORIGINS_PREFIX).items.length > 0;
}

const REPLACEMENTS: Readonly<Record<string, Replacement>> = {
  'while no entry runs': async (scene) => {
    kill(scene);
    await replace(scene);
  },
  'at the moment of the kill': async (scene) => {
    await replace(scene);
    kill(scene);
  },
  'before the kill, and known to all entries': async (scene) => {
    await replace(scene);
    await untilListed(scene);
    kill(scene);
  },
};

/** Starts entries, begins a stream at an engine of v1 and returns once its first event has come. */
async function begin(t: ExecutionContext): Promise<Scene> {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  const [old, next] = [engine('e1', 'v1'), engine('e2', 'v1.1')];
  old.behaviors.push('paused');
  await rig.start([old], true, ENTRIES.length);
  await rig.untilAcquainted();
  const stream = new PartialStream(rig.portOf(0), { id: FIRST_ID, path: PATH, headers: MODEL });
  t.teardown(() => stream.leave());
  await rig.until(() => stream.eventCount === 1);
  return { rig, old, next };
}

async function restart({ rig }: Scene): Promise<void> {
  for (const at of ENTRIES) await rig.startEntry(at);
  for (const at of ENTRIES) await rig.until(() => rig.entryOf(at).isReady());
}

/** Takes the stream up several times at each entry, as its caller does. */
async function takeUp({ rig }: Scene, resumes: string | undefined) {
  const answers: Awaited<ReturnType<typeof callEntry>>[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const at of ENTRIES) {
      const headers: Record<string, string> = { ...MODEL, 'Last-Event-Id': '1' };
      if (resumes !== undefined) headers.Resumes = resumes;
      answers.push(await callEntry(rig.portOf(at), { method: 'POST', path: PATH, headers }));
    }
  }
  return answers;
}

for (const [name, replacement] of Object.entries(REPLACEMENTS)) {
  for (const resumes of [FIRST_ID, undefined]) {
    const naming = resumes === undefined ? 'names no request' : 'names its request';
    // Guards against streams joined from two versions: after a kill of all entries only what is listed now is known.
    test(`a stream whose version was replaced ${name} is refused, its caller ${naming}`, async (t) => {
      const scene = await begin(t);
      await replacement(scene);
      await restart(scene);
      const { rig, next } = scene;
      const isKnown = (at: number) =>
        rig.entryOf(at).fleet.get(next.id as UpstreamId) !== undefined;
      await rig.until(() => ENTRIES.every(isKnown));
      for (const { status, body } of await takeUp(scene, resumes)) t.is(status, 503, body);
      t.is(next.runs.length, 0);
    });
  }
}

// Guards against streams that are refused though their version serves, as no entry is left to know how they began.
test('a stream is taken up at its version after all entries were killed while two versions serve', async (t) => {
  const scene = await begin(t);
  const { rig, next } = scene;
  await rig.add(next);
  await rig.until(() => isStored(scene));
  kill(scene);
  await restart(scene);
  for (const { status, body } of await takeUp(scene, FIRST_ID)) {
    t.is(status, 200, body);
    t.false(body.includes('v1.1'));
  }
  t.is(next.runs.length, 0);
});

// Guards against a new version that gets no streams for good, because no record names it.
test('streams begin at a version that came while no entry ran', async (t) => {
  const scene = await begin(t);
  kill(scene);
  await replace(scene);
  await restart(scene);
  const { rig, next } = scene;
  let status = 0;
  while (status !== 200) {
    ({ status } = await callEntry(rig.port, { method: 'POST', path: PATH, headers: MODEL }));
  }
  t.is(next.runs.length, 1);
});
