import { Callers } from './callers.js';
import { Crashing } from './crashing.js';
import { Dice } from './dice.js';
import { entryCommand } from './entrycommand.js';
import { faults } from './faults.js';
import { hostFaults } from './hostfaults.js';
import { knownFaults } from './knownfaults.js';
import { listFaults } from './listfaults.js';
import { needFaults } from './needfaults.js';
import { pause } from './pause.js';
import { Site } from './site.js';
import { suspendedCommand } from './suspendedcommand.js';
import { Witness, type Breach } from './witness.js';

/** What one run is made of. */
interface SoakOptions {
  readonly seed: number;
  readonly forMs: number;
  /** The program that is run as an entry. */
  readonly command: readonly string[];
  readonly entryCount?: number;
  readonly callerCount?: number;
  /** Longest pause between two faults. */
  readonly longestGapMs?: number;
  /** What a busy machine may add to each bound. */
  readonly slackMs?: number;
  /** Names of the faults to choose from; all if it is absent. */
  readonly faultNames?: readonly string[];
  /** Requests that end their servers come, and stops of entries are suspensions of their hosts. */
  readonly isHarsh?: boolean;
  /** Customers are configured, and callers come with keys. */
  readonly isKeyed?: boolean;
  /** Of an entry whose host is suspended: it goes by a clock that stands still meanwhile. */
  readonly isSteady?: boolean;
}

/** What came of it. */
interface SoakResult {
  readonly seed: number;
  readonly asked: number;
  readonly answered: number;
  readonly refused: number;
  readonly breaches: readonly Breach[];
  /** The faults, with their times in ms since the start. */
  readonly faults: readonly string[];
  /** The last lines of each entry, if a promise was broken. */
  readonly lines: Readonly<Record<string, readonly string[]>>;
}

/** A development machine that runs a few of these at a time. */
const SLACK_MS = 1500;
const LONGEST_GAP_MS = 900;
const READY_PAUSE_MS = 50;
/** Faults that last are over, and all are calm again, after this. */
const SETTLE_MS = 1500;
/** All of a run: what leads to a breach may come long before its end. */
const LAST_LINES = 20_000;
/** Seeds below are kept as they were played when they failed: they draw from the faults of then. */
const LIST_FAULTS_FROM = 10_000;
const HARSH_FROM = 20_000;
const KEYED_FROM = 30_000;
const NEED_FROM = 40_000;

async function untilListening(site: Site): Promise<void> {
  const isListening = () =>
    site.entries.every(({ lines }) => lines.some((line) => line.includes('state read')));
  while (!isListening()) await pause(READY_PAUSE_MS);
}

/** The faults that a seed draws from: seeds of before some were there go on without them. */
function drawnFrom(seed: number): object {
  if (seed < LIST_FAULTS_FROM) return faults;
  if (seed < HARSH_FROM) return { ...faults, ...listFaults };
  const harsh = { ...faults, ...listFaults, ...hostFaults };
  return seed < NEED_FROM ? harsh : { ...harsh, ...needFaults };
}

/** Real programs under load and faults from outside, judged by what callers and servers see. */
export async function soak(options: SoakOptions): Promise<SoakResult> {
  const { seed, forMs, command, entryCount = 3, callerCount = 24 } = options;
  const { slackMs = SLACK_MS, longestGapMs = LONGEST_GAP_MS } = options;
  const dice = new Dice(seed);
  const isHarsh = options.isHarsh ?? seed >= HARSH_FROM;
  const isKeyed = options.isKeyed ?? seed >= KEYED_FROM;
  const site = new Site(isKeyed);
  const isHeld = isHarsh && command === entryCommand;
  await site.start(entryCount, isHeld ? suspendedCommand(options.isSteady ?? false) : command);
  await untilListening(site);
  const callers = new Callers(site.entries, new Dice(seed + 1), isKeyed);
  callers.start(callerCount);
  const ask = (path: string, entry: number) => callers.askCrashing(path, entry);
  const crashing = new Crashing({ site, dice: new Dice(seed + 2), ask });
  if (isHarsh) crashing.start();
  const startedAtMs = performance.now();
  const done: string[] = [];
  const drawn = drawnFrom(seed);
  const names = options.faultNames ?? Object.keys(drawn);
  while (performance.now() - startedAtMs < forMs) {
    await pause(dice.below(longestGapMs));
    const name = dice.pick(names);
    const detail = knownFaults[name]!(site, dice);
    done.push(`${Math.round(performance.now() - startedAtMs)} ${name} ${detail}`);
    callers.version = site.version;
  }
  await pause(SETTLE_MS);
  crashing.stop();
  await callers.stop();
  const breaches = new Witness(site, callers.calls, slackMs).judge();
  const lines: Record<string, readonly string[]> = {};
  if (breaches.length > 0) {
    for (const entry of site.entries) lines[entry.name] = entry.lines.slice(-LAST_LINES);
  }
  await site.close();
  const { calls } = callers;
  return {
    seed,
    asked: calls.length,
    answered: calls.filter(({ status, isWhole }) => status === 200 && isWhole).length,
    refused: calls.filter(({ status }) => status === 503 || status === 429).length,
    breaches,
    faults: done,
    lines,
  };
}
