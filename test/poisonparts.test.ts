import test from 'ava';
import { PoisonWorld } from './support/poisonworld.js';

/** For more seeds: `POISON_SEEDS=100 npx ava --timeout=30m dist/test/poisonparts.test.js`. */
const SEEDS = Number(process.env.POISON_SEEDS ?? 4);
/** Sends that connected entries may still make after five crashes under a part, once all can know of them. */
const MAX_LATE_SENDS = 3;
/** Sound requests with the same first part begin at least this much as often as before. */
const MIN_SHARE = 0.5;
const MIN_COUNT = 20;

const DAY = {
  forMs: 60_000,
  entryCount: 5,
  upstreamCount: 13,
  poisonCount: 0,
  poisonPeriodMs: 1100,
  endsPerS: 0.05,
  resetsPerS: 0.05,
  killsPerS: 0,
  outagesPerS: 0,
  retryCount: 1,
  openEndedShare: 0.3,
  rejectedShare: 0.1,
};
const PART = { periodMs: 330, fromMs: 8000, untilMs: 50_000, place: 'second' } as const;

type Scenario = Omit<ConstructorParameters<typeof PoisonWorld>[0], 'seed'>;

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'one part': { ...DAY, deadlyParts: [PART] },
  'eight requests a second': { ...DAY, deadlyParts: [{ ...PART, periodMs: 125 }] },
  'a first part': { ...DAY, deadlyParts: [{ ...PART, place: 'first' }] },
  'always beside the same part': { ...DAY, deadlyParts: [{ ...PART, companion: 'f0' }] },
  'two parts at once': { ...DAY, deadlyParts: [PART, { ...PART, periodMs: 500, fromMs: 8500 }] },
  'two parts beside the same first part': {
    ...DAY,
    deadlyParts: [
      { ...PART, companion: 'f0' },
      { ...PART, companion: 'f0', periodMs: 500, fromMs: 8500 },
    ],
  },
  'a part that sound requests held': { ...DAY, deadlyParts: [{ ...PART, isShared: true }] },
  'one of two software versions': {
    ...DAY,
    versions: ['v1', 'v2'],
    deadlyParts: [{ ...PART, version: 'v1' }],
  },
  'upstreams that crash and reset connections otherwise': {
    ...DAY,
    endsPerS: 0.4,
    resetsPerS: 0.4,
    deadlyParts: [PART],
  },
  'kills and outages': { ...DAY, killsPerS: 0.08, outagesPerS: 0.05, deadlyParts: [PART] },
  'all entries killed repeatedly': {
    ...DAY,
    forMs: 90_000,
    killsPerS: 0.33,
    deadlyParts: [{ ...PART, untilMs: 85_000 }],
  },
};

function worst(scenario: Scenario) {
  return Promise.all(
    Array.from({ length: SEEDS }, (_, at) => new PoisonWorld({ ...scenario, seed: at + 1 }).run()),
  );
}

type Outcome = Awaited<ReturnType<typeof worst>>[number]['parts'][number];

/** Returns how often sound requests begin beside deadly ones, relative to before; undefined with too few of them. */
function shareOf({ besides, otherwise }: Outcome): number | undefined {
  if (besides.asked < MIN_COUNT || otherwise.asked < MIN_COUNT) return undefined;
  return besides.begun / besides.asked / (otherwise.begun / otherwise.asked);
}

for (const [name, scenario] of Object.entries(SCENARIOS)) {
  test.serial(
    `a deadly part is not sent on, and sound requests beside it go on: ${name}`,
    async (t) => {
      const parts = (await worst(scenario)).flatMap((outcome) => outcome.parts);
      for (const part of parts) {
        t.true(part.lateSends <= MAX_LATE_SENDS, JSON.stringify(part));
        t.true((shareOf(part) ?? 1) >= MIN_SHARE, JSON.stringify(part));
      }
      t.log(`at most ${Math.max(...parts.map(({ crashes }) => crashes))} upstreams crashed`);
    },
  );
}

const DEFECTS = {
  'ignores-parts': SCENARIOS['one part']!,
  'no-sharing': { ...SCENARIOS['kills and outages']!, deadlyParts: [{ ...PART, periodMs: 2000 }] },
  'no-storage': {
    ...SCENARIOS['all entries killed repeatedly']!,
    deadlyParts: [{ ...PART, periodMs: 2500, untilMs: 85_000 }],
  },
  'reject-proves': { ...SCENARIOS['one part']!, rejectedShare: 0.6 },
  'open-end-proves': { ...SCENARIOS['one part']!, openEndedShare: 1, silentShare: 0 },
  'bars-suspects': SCENARIOS['always beside the same part']!,
  'no-trials': {
    ...SCENARIOS['eight requests a second']!,
    forMs: 18_000,
    deadlyParts: [{ ...PART, periodMs: 125, untilMs: 16_000 }],
  },
} as const;

for (const [defect, scenario] of Object.entries(DEFECTS)) {
  test.serial(`the simulation detects the loss of a protection: ${defect}`, async (t) => {
    const broken = { ...scenario, defect: defect as keyof typeof DEFECTS };
    const parts = (await worst(broken)).flatMap((outcome) => outcome.parts);
    const isFound = parts.some(
      (part) => part.lateSends > MAX_LATE_SENDS || (shareOf(part) ?? 1) < MIN_SHARE,
    );
    t.true(isFound, JSON.stringify(parts));
  });
}
