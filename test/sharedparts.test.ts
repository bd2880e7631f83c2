import test from 'ava';
import type { TraitId } from '../src/base/index.js';
import { callEntry } from './support/callentry.js';
import { crashRig } from './support/crashrig.js';
import { PlatformRig } from './support/platformrig.js';
import { poisonCommand } from './support/poisoncommand.js';

const { engines, crashCount, pause } = crashRig;
const FIRST = 'f1';
const DEADLY = 'dead';
const CRASH_AFTER_MS = 60;
const ENTRIES = 3;
const ARRIVALS = 16;
/** Crashes after which a part has to be known, and sends that are tolerated until all entries know it. */
const MAX_CRASHES = 5 + 3;
/** From this arrival on a sound request has to be served at the first attempt. */
const SOUND_FROM = 8;
const PAUSE_MS = 400;

type PartCrash = NonNullable<ReturnType<PlatformRig['crashByPart']['get']>>;

async function startRig(): Promise<PlatformRig> {
  const rig = new PlatformRig();
  await rig.start(engines(9), true, ENTRIES);
  await rig.until(() => rig.findLine('order turn taken') !== undefined);
  return rig;
}

let asked = 0;

/** Sends a request of its own content whose prompt begins with these parts. */
function ask(rig: PlatformRig, entry: number, path: string, parts: readonly string[]) {
  asked += 1;
  const prefix = [...parts, `own${asked}`].map((part) => `${Buffer.from(part).toString('hex')}:9`);
  const headers = {
    'Tarragonstile-Model': 'm1',
    'Tarragonstile-Prompt-Prefix': prefix.join(','),
  };
  return callEntry(rig.portOf(entry), { method: 'POST', path, headers, body: `body ${asked}` });
}

function arm(rig: PlatformRig, sends: PartCrash['sends']): void {
  rig.crashByPart.set(Buffer.from(DEADLY).toString('hex'), { afterMs: CRASH_AFTER_MS, sends });
}

/** Sends requests with a deadly part to all entries, each beside a sound one. Returns how many sound ones failed. */
async function play(rig: PlatformRig, path: string): Promise<number> {
  let failed = 0;
  for (let at = 0; at < ARRIVALS; at += 1) {
    await ask(rig, at % ENTRIES, path, [FIRST, DEADLY]);
    await pause(PAUSE_MS);
    const sound = await ask(rig, at % ENTRIES, '/draft/sound', [FIRST, `t${at}`]);
    if (at >= SOUND_FROM && sound.status !== 200) failed += 1;
  }
  return failed;
}

for (const sends of ['nothing', 'one-event', 'unframed-cut'] as const) {
  test(`requests that share a crashing part are withheld though their contents differ; sent before a crash: ${sends}`, async (t) => {
    const rig = await startRig();
    t.teardown(() => rig.close());
    arm(rig, sends);
    const failed = await play(rig, '/draft/deadly');
    t.true(crashCount(rig) <= MAX_CRASHES, `${crashCount(rig)} crashed`);
    t.is(failed, 0, 'sound requests with the same first part');
  });
}

test('requests that share a crashing part are withheld though entries repeat each of them', async (t) => {
  const rig = await startRig();
  t.teardown(() => rig.close());
  arm(rig, 'nothing');
  const failed = await play(rig, '/batch/deadly');
  t.true(crashCount(rig) <= MAX_CRASHES, `${crashCount(rig)} crashed`);
  t.is(failed, 0, 'sound requests with the same first part');
});

test('an entry that starts again withholds requests with a part that is known to crash upstreams', async (t) => {
  const rig = await startRig();
  t.teardown(() => rig.close());
  arm(rig, 'nothing');
  await play(rig, '/draft/deadly');
  for (let at = 0; at < ENTRIES; at += 1) rig.stopEntry(at);
  for (let at = 0; at < ENTRIES; at += 1) await rig.startEntry(at);
  for (let at = 0; at < ENTRIES; at += 1) await rig.until(() => rig.entryOf(at).isReady());
  const before = crashCount(rig);
  for (let at = 0; at < ENTRIES; at += 1) {
    const answer = await ask(rig, at, '/draft/deadly', [FIRST, DEADLY]);
    t.is(answer.status, 503);
    t.regex(answer.body, /"executed":"no"/);
  }
  t.is(crashCount(rig), before);
});

test('an operator sees a part of prompts that crashes upstreams and can allow it again at all entries', async (t) => {
  const rig = await startRig();
  t.teardown(() => rig.close());
  arm(rig, 'nothing');
  await play(rig, '/draft/deadly');
  const trait = `part:${Buffer.from(DEADLY).toString('hex')}`;
  t.regex(await poisonCommand('--peer', rig.peerOf(0)), new RegExp(`^poison ${trait} engine`, 'm'));
  rig.crashByPart.clear();
  t.regex(await poisonCommand('--peer', rig.peerOf(1), '--lift', trait), /may run again/);
  await rig.until(() => rig.entryOf(0).poison.verdict(trait as TraitId) === 'sound');
  t.is((await ask(rig, 0, '/draft/deadly', [FIRST, DEADLY])).status, 200);
});

test('an answer with status 400 does not clear a request that crashes upstreams', async (t) => {
  const rig = await startRig();
  t.teardown(() => rig.close());
  const path = '/draft/crashing';
  for (let at = 0; at < ARRIVALS; at += 1) {
    if (at % 2 === 0) rig.crashDelayMsByPath.set(path, CRASH_AFTER_MS);
    else {
      rig.crashDelayMsByPath.delete(path);
      for (const server of rig.servers) server.behaviors.splice(0, Infinity, 'bad-request');
    }
    const headers = { 'Tarragonstile-Model': 'm1' };
    await callEntry(rig.portOf(at % ENTRIES), { method: 'POST', path, headers, body: 'x' });
    for (const server of rig.servers) server.behaviors.length = 0;
    await pause(PAUSE_MS);
  }
  t.true(crashCount(rig) <= 5, `${crashCount(rig)} crashed`);
});
