import test from 'ava';
import type { Origins } from '../src/direct/origin/index.js';
import { GuessingHistory } from './support/guessinghistory.js';
import { PresentHistory } from './support/presenthistory.js';
import { playStreams } from './support/playstreams.js';
import { streamSeeds } from './support/streamseeds.js';
import type { StreamWorld } from './support/streamworld.js';

type Options = ConstructorParameters<typeof StreamWorld>[0];
type Rates = Options['rates'];
type OriginsOptions = ConstructorParameters<typeof Origins>[0];

const REPLACED: Rates = { drain: 0, leave: 0, replaceAll: 12 };
/** A release that leaves no server of the version before, and callers that lose their connections often. */
const REPLACING: Partial<Options> = { releaseEveryMs: 4000, versionsAtOnce: 1, lossMs: 1000 };
const SCENARIOS: Readonly<Record<string, Rates>> = {
  'nothing is disturbed': {},
  'single calls to the store fail': { failCalls: 40 },
  'the history is discarded': { compact: 15 },
  'servers are cut off from the store': { cutServer: 20 },
  'writes of servers are carried out late': { writeLate: 40 },
  'the store goes away': { down: 6 },
  'entries are frozen': { freeze: 12 },
  'entries are cut off from the store': { cutEntry: 12 },
  'entries are cut off from everything but servers and callers': { isolate: 12 },
  'entries are killed': { restart: 20 },
  'servers start again under their ids with other software': { startAgain: 20, isolate: 6 },
  'all servers are replaced at once': REPLACED,
  'all servers are replaced at once while entries are cut off': { ...REPLACED, isolate: 30 },
  'all servers are replaced at once while entries are killed': { ...REPLACED, restart: 30 },
  'all entries are killed at once': { restartAll: 8 },
  'all entries are killed at once while calls to the store fail': { restartAll: 8, failCalls: 60 },
  'all entries are killed at once and the store goes away': { restartAll: 6, down: 4 },
  'all entries are killed at once and others are cut off': { restartAll: 6, isolate: 10 },
  'everything at once': {
    restartAll: 2,
    failCalls: 20,
    compact: 4,
    writeLate: 20,
    cutServer: 10,
    down: 2,
    freeze: 6,
    cutEntry: 6,
    isolate: 6,
    restart: 10,
  },
};

for (const [name, disturbances] of Object.entries(SCENARIOS)) {
  test(`no stream holds events of two versions, and those that are taken up go on: ${name}`, async (t) => {
    t.deepEqual(await playStreams(disturbances), []);
  });
}

/** Callers who ask for so long that the entries are back, and entries that are judged soon after they are. */
const PATIENT: Partial<Options> = { contactMs: 1000, maxTries: 12 };

// Guards against streams that are refused after a kill of all entries, as nobody is left to know with what they began.
test('streams go on after all entries were killed at once, nearly as often as new ones begin', async (t) => {
  t.deepEqual(
    await playStreams({ restartAll: 12 }, PATIENT, { aim: 0.9, seeds: 2 * streamSeeds }),
    [],
  );
});

test('the checks find origins that are lost with all entries', async (t) => {
  const origins = (options: OriginsOptions) => ({ ...options, store: () => {} });
  const findings = await playStreams(
    { restartAll: 12 },
    { ...PATIENT, parts: { origins } },
    { aim: 0.9 },
  );
  t.true(findings.some((finding) => finding.endsWith('that broke went on')));
});

/**
 * An entry is out of step (cut off, frozen or suspended) half of the time, beside releases. Requests are often sent
 * again before their first event, also to other software, and callers lose their connections often.
 */
const OUT_OF_STEP: Partial<Options> = {
  firstEventMs: 1500,
  earlyLoss: 0.4,
  lossMs: 1500,
  maxTries: 6,
};
const TROUBLES: Readonly<Record<string, Rates>> = {
  'from the other entries': { cutPeers: 60 },
  'from the store': { cutEntry: 60 },
  'from the other entries and the store': { isolate: 60 },
  'by a freeze': { freeze: 60 },
  'by a suspension': { suspend: 60 },
  'in all these ways': { cutPeers: 15, cutEntry: 15, isolate: 15, freeze: 15, suspend: 15 },
};

// Guards against an entry that has missed what others were told since, and continues a stream at other software.
for (const [name, rates] of Object.entries(TROUBLES)) {
  test(`no stream is joined at an entry that is out of step ${name}`, async (t) => {
    t.deepEqual(await playStreams(rates, OUT_OF_STEP), []);
  });
}

test('the checks find an origin that is told before it is certain', async (t) => {
  const findings = await playStreams(
    { isolate: 60 },
    { ...OUT_OF_STEP, tellsAtSend: true },
    { seeds: 8 },
  );
  t.true(findings.some((finding) => finding.includes('stream-')));
});

test('streams of one version are taken up at any entry', async (t) => {
  t.deepEqual(await playStreams({ restart: 20, isolate: 6 }, { releaseEveryMs: Infinity }), []);
});

test('the checks find memories of one entry alone', async (t) => {
  const copy = () => Promise.resolve(false);
  const silent = { copy, store: () => {}, ask: () => Promise.resolve(undefined) };
  const origins = (options: OriginsOptions) => ({ ...options, ...silent });
  const findings = await playStreams({}, { parts: { origins } });
  t.true(findings.some((finding) => finding.endsWith('taken up went on')));
});

test('the checks find streams of unknown begin that are sent on', async (t) => {
  const findings = await playStreams(
    { restart: 20 },
    { parts: { history: () => new GuessingHistory() } },
  );
  t.true(findings.some((finding) => finding.includes('stream-')));
});

test('the checks find an inference from what is listed now', async (t) => {
  const parts = { history: () => new PresentHistory() };
  const findings = await playStreams({ ...REPLACED, isolate: 30 }, { ...REPLACING, parts });
  t.true(findings.some((finding) => finding.includes('stream-')));
});

test('the checks find an inference from a list of any age', async (t) => {
  const parts = { origins: (options: OriginsOptions) => ({ ...options, listAgeMs: () => 0 }) };
  const rates = { ...REPLACED, isolate: 60 };
  const findings = await playStreams(
    rates,
    { ...REPLACING, parts, troubleMs: 9000 },
    {
      seeds: 80,
      dayMs: 12_000,
    },
  );
  t.true(findings.some((finding) => finding.includes('stream-')));
});
