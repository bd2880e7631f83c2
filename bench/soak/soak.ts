import { Callers } from './callers.js';
import { PartLoad } from './partload.js';
import { PoisonLoad } from './poisonload.js';
import { Dice } from './dice.js';
import { entryCommand } from './entrycommand.js';
import { faults } from './faults.js';
import { suspensionFaults } from './suspensionfaults.js';
import { knownFaults } from './knownfaults.js';
import { serverListFaults } from './serverlistfaults.js';
import { leavingFaults } from './leavingfaults.js';
import { releaseFaults } from './releasefaults.js';
import { openEndFaults } from './openendfaults.js';
import { outOfStepFaults } from './outofstepfaults.js';
import { overloadFaults } from './overloadfaults.js';
import { reportedStateFaults } from './reportedstatefaults.js';
import { pause } from './pause.js';
import { Site } from './site.js';
import { suspendedCommand } from './suspendedcommand.js';
import { UnevenLoad } from './unevenload.js';
import { HerdChecker } from './herdchecker.js';
import { HerdLoad, type HerdTerms } from './herdload.js';
import { plannedFaults } from './plannedfaults.js';
import { PlannedLoad } from './plannedload.js';
import { PlannedWorkChecker } from './plannedworkchecker.js';
import { PromiseChecker, type Breach } from './promisechecker.js';

/** Parameters of one run. */
interface SoakOptions {
  readonly seed: number;
  readonly forMs: number;
  /** Command that starts an entry. */
  readonly command: readonly string[];
  readonly entryCount?: number;
  readonly callerCount?: number;
  /** Longest interval between two faults. */
  readonly longestGapMs?: number;
  /** Time that is added to each time bound, for a busy machine. */
  readonly slackMs?: number;
  /** Names of the faults to choose from; by default all that the seed's range includes. */
  readonly faultNames?: readonly string[];
  /** Adds poison requests; an entry that is stopped by SIGSTOP experiences it as a suspension of its host. */
  readonly isHarsh?: boolean;
  /** Configures customers, and callers send keys. */
  readonly isKeyed?: boolean;
  /** Streams last for some time, and their callers take them up where they were cut. */
  readonly isReleasing?: boolean;
  /** Prompts name their parts, and requests with deadly parts come. */
  readonly hasParts?: boolean;
  /** Servers enforce slots and have paces, and customers of different usual loads compete for them. */
  readonly isUneven?: boolean;
  /** Configurations withdraw routes, move them between services and change time-outs. */
  readonly isChanging?: boolean;
  /** Requests on new connections, most of which go to few entries by turns. */
  readonly herd?: HerdTerms;
  /** Callers on raw sockets beside the others, by number; every request of theirs that ends unanswered is judged. */
  readonly plannedCallerCount?: number;
  /** Part of a core that each entry may use; as much as it wants by default. */
  readonly cpuShare?: number;
  readonly engineCount?: number;
  /** Connections that each server accepts from all entries. */
  readonly maxConnections?: number;
  /** Slots that engines announce; they are not enforced. */
  readonly engineSlots?: number;
  /** Pause between the events of streams. */
  readonly eventGapMs?: number;
  /** Entries use a clock that does not advance while their host is suspended. */
  readonly isSteady?: boolean;
}

/** Result of one run. */
interface SoakResult {
  readonly seed: number;
  readonly asked: number;
  readonly answered: number;
  readonly refused: number;
  readonly breaches: readonly Breach[];
  /** The injected faults, each with its time in ms since the start. */
  readonly faults: readonly string[];
  /** What was served while most connections went to few entries. */
  readonly herds: ReturnType<HerdChecker['reports']>;
  /** What became of the requests on raw sockets, if there were any. */
  readonly planned?: ReturnType<PlannedWorkChecker['judge']>;
  /** The last log lines of each entry, if a promise was broken. */
  readonly lines: Readonly<Record<string, readonly string[]>>;
}

/** Allows for a development machine that runs a few soaks at a time. */
const SLACK_MS = 1500;
const LONGEST_GAP_MS = 900;
const CALLERS = 24;
const READY_POLL_MS = 50;
/** Time after the last fault for lasting faults to end and for processes to recover. */
const SETTLE_MS = 1500;
/** Enough for a whole run, since the cause of a breach may lie long before its end. */
const LAST_LINES = 20_000;
/**
 * First seed of each range. A range adds faults or loads; lower ranges stay as they are, so that a seed that once
 * failed still injects the same faults.
 */
const FIRST_SERVER_LIST_SEED = 10_000;
const FIRST_HARSH_SEED = 20_000;
const FIRST_KEYED_SEED = 30_000;
const FIRST_REPORTED_STATE_SEED = 40_000;
const FIRST_OVERLOAD_SEED = 50_000;
const FIRST_LEAVING_SEED = 60_000;
const FIRST_RELEASE_SEED = 70_000;
const FIRST_PARTS_SEED = 80_000;
/**
 * This range has the faults of the first one, without poison and deadly parts, and fewer of them: load can only be judged
 * while nothing else keeps servers from serving.
 */
const FIRST_UNEVEN_SEED = 90_000;
/** This range has the faults of servers and list, and configurations that change routes. */
const FIRST_CHANGING_SEED = 100_000;
/** This range has the faults of the first one, and most connections go to few entries by turns. */
const FIRST_HERD_SEED = 110_000;
/**
 * This range has planned work alone, in series and overlapping, and callers on raw sockets. Seeds from its end on are of
 * the range before it.
 */
const FIRST_PLANNED_SEED = 120_000;
const PLANNED_SEEDS_END = 130_000;
const PLANNED_ENTRIES = 4;
const PLANNED_CPU_SHARE = 0.243;
const PLANNED_LONGEST_GAP_MS = 2500;
const PLANNED_CALLERS = 16;
/** Callers beside those on raw sockets. */
const PLANNED_USUAL_CALLERS = 4;
/** Faults of the first ranges that are planned work, or make servers slow without a failure. */
const PLANNED_FIRST_FAULTS = [
  'stop',
  'hangUp',
  'configure',
  'configureOften',
  'slowDown',
  'replaceServer',
] as const;
const HERD_CALLERS = 6;
const HERD: HerdTerms = { perS: 90, factor: 2.4, hotCount: 1, reusePercent: 0 };
const HERD_ENTRIES = 5;
const HERD_CPU_SHARE = 0.243;
/** Pause between two of these: short, and long enough for the version to be judged. */
const CHANGE_MS = { least: 3000, range: 5000 };
const CALM_LONGEST_GAP_MS = 6000;
/** Faults that may not change what callers get, so that load is judged beside them too. */
const UNNOTICED_FAULTS: readonly string[] = ['hangUp', 'configure', 'configureOften'];
/** Callers beside those of the uneven load. */
const UNEVEN_CALLERS = 3;
/** Streams last for some of these, so that they are cut midway. */
const EVENT_GAP_MS = 70;

async function untilListening(site: Site): Promise<void> {
  const isListening = () =>
    site.entries.every(({ lines }) => lines.some((line) => line.includes('state read')));
  while (!isListening()) await pause(READY_POLL_MS);
}

function isPlannedSeed(seed: number): boolean {
  return seed >= FIRST_PLANNED_SEED && seed < PLANNED_SEEDS_END;
}

/** Returns the faults of the seed's range. */
function faultsOfSeed(seed: number): object {
  if (isPlannedSeed(seed)) {
    const first = PLANNED_FIRST_FAULTS.map((name) => [name, faults[name]]);
    return { ...Object.fromEntries(first), ...plannedFaults };
  }
  if (seed >= FIRST_HERD_SEED) return faults;
  if (seed >= FIRST_CHANGING_SEED) return { ...faults, ...serverListFaults };
  if (seed < FIRST_SERVER_LIST_SEED || seed >= FIRST_UNEVEN_SEED) return faults;
  if (seed < FIRST_HARSH_SEED) return { ...faults, ...serverListFaults };
  const harsh = { ...faults, ...serverListFaults, ...suspensionFaults };
  if (seed < FIRST_REPORTED_STATE_SEED) return harsh;
  const reported = { ...harsh, ...reportedStateFaults };
  if (seed < FIRST_OVERLOAD_SEED) return reported;
  const overload = { ...reported, ...overloadFaults };
  if (seed < FIRST_LEAVING_SEED) return overload;
  const leaving = { ...overload, ...leavingFaults };
  if (seed < FIRST_RELEASE_SEED) return leaving;
  const release = { ...leaving, ...releaseFaults };
  return seed < FIRST_PARTS_SEED ? release : { ...release, ...openEndFaults };
}

/**
 * Runs real entries under load, injects random faults, and checks the system's promises against what callers and
 * servers observed.
 */
export async function soak(options: SoakOptions): Promise<SoakResult> {
  const { seed, forMs, command, slackMs = SLACK_MS } = options;
  const isOfPlannedSeed = isPlannedSeed(seed);
  const isOfHerdSeed = seed >= FIRST_HERD_SEED && !isOfPlannedSeed;
  const herd = options.herd ?? (isOfHerdSeed ? HERD : undefined);
  const usualEntries = isOfPlannedSeed ? PLANNED_ENTRIES : 3;
  const { entryCount = herd ? HERD_ENTRIES : usualEntries } = options;
  const usualShare = isOfPlannedSeed ? PLANNED_CPU_SHARE : undefined;
  const { cpuShare = herd ? HERD_CPU_SHARE : usualShare, engineCount, maxConnections } = options;
  const { plannedCallerCount = isOfPlannedSeed ? PLANNED_CALLERS : 0 } = options;
  const { engineSlots } = options;
  const isOfChangingSeed = seed >= FIRST_CHANGING_SEED && seed < FIRST_HERD_SEED;
  const isChanging = options.isChanging ?? isOfChangingSeed;
  const isOfUnevenSeed = seed >= FIRST_UNEVEN_SEED && seed < FIRST_CHANGING_SEED;
  const isOfLoneRange = seed >= FIRST_UNEVEN_SEED;
  const isUneven = options.isUneven ?? isOfUnevenSeed;
  const besideHerd = herd ? HERD_CALLERS : CALLERS;
  const usualCallers = isOfPlannedSeed ? PLANNED_USUAL_CALLERS : besideHerd;
  const { callerCount = isUneven ? UNEVEN_CALLERS : usualCallers } = options;
  const isJudgedCalm = isUneven || herd !== undefined;
  const usualGapMs = isOfPlannedSeed ? PLANNED_LONGEST_GAP_MS : LONGEST_GAP_MS;
  const { longestGapMs = isJudgedCalm ? CALM_LONGEST_GAP_MS : usualGapMs } = options;
  const dice = new Dice(seed);
  const isHarsh = options.isHarsh ?? (seed >= FIRST_HARSH_SEED && !isOfLoneRange);
  const isKeyed = options.isKeyed ?? ((seed >= FIRST_KEYED_SEED && !isOfLoneRange) || isUneven);
  const isReleasing = options.isReleasing ?? (seed >= FIRST_RELEASE_SEED && !isOfLoneRange);
  const hasParts = options.hasParts ?? (seed >= FIRST_PARTS_SEED && !isOfLoneRange);
  const isPaced = isReleasing || isUneven || herd !== undefined || plannedCallerCount > 0;
  const { eventGapMs = isPaced ? EVENT_GAP_MS : 0 } = options;
  const site = new Site({
    isKeyed,
    eventGapMs,
    isUneven,
    isChanging,
    cpuShare,
    isStartLimited: isOfPlannedSeed,
    engineCount,
    maxConnections,
    engineSlots,
    hasPeerRelays: options.faultNames?.some((name) => Object.hasOwn(outOfStepFaults, name)),
  });
  const isSuspendable = isHarsh && command === entryCommand;
  await site.start(
    entryCount,
    isSuspendable ? suspendedCommand(options.isSteady ?? false) : command,
  );
  await untilListening(site);
  const callers = new Callers(
    site.entries,
    new Dice(seed + 1),
    isKeyed,
    isReleasing,
    hasParts,
    isChanging,
  );
  callers.start(callerCount);
  const ask = (path: string, entry: number) => callers.sendPoison(path, entry);
  const poisonLoad = new PoisonLoad({ site, dice: new Dice(seed + 2), ask });
  if (isHarsh) poisonLoad.start();
  const partLoad = new PartLoad({
    site,
    dice: new Dice(seed + 3),
    ask: (path, entry, parts) => callers.sendDeadly(path, entry, parts),
  });
  if (hasParts) partLoad.start();
  const unevenLoad = new UnevenLoad(site, new Dice(seed + 4), callers);
  if (isUneven) unevenLoad.start();
  const herdLoad = herd && new HerdLoad(site, new Dice(seed + 6), herd);
  herdLoad?.start();
  const plannedLoad =
    plannedCallerCount > 0 ? new PlannedLoad(site, new Dice(seed + 7)) : undefined;
  plannedLoad?.start(plannedCallerCount);
  const startedAtMs = performance.now();
  const changeDice = new Dice(seed + 5);
  const untilMs = startedAtMs + forMs;
  const changeRoutes = async () => {
    for (;;) {
      await pause(CHANGE_MS.least + changeDice.below(CHANGE_MS.range));
      if (performance.now() > untilMs) return;
      site.applyConfiguration();
      callers.version = site.version;
    }
  };
  if (isChanging) void changeRoutes();
  const done: string[] = [];
  const available = faultsOfSeed(seed);
  const names = options.faultNames ?? Object.keys(available);
  while (performance.now() - startedAtMs < forMs) {
    await pause(dice.below(longestGapMs));
    const name = dice.pick(names);
    const detail = knownFaults[name]!(site, dice);
    if (!UNNOTICED_FAULTS.includes(name)) site.faultedAtMs.push(performance.now());
    done.push(`${Math.round(performance.now() - startedAtMs)} ${name} ${detail}`);
    callers.version = site.version;
  }
  await pause(SETTLE_MS);
  poisonLoad.stop();
  partLoad.stop();
  unevenLoad.stop();
  await Promise.all([callers.stop(), herdLoad?.stop(), plannedLoad?.stop()]);
  const promises = new PromiseChecker(
    site,
    callers.calls,
    slackMs,
    hasParts ? partLoad.deadly : [],
    unevenLoad.swells,
  );
  const herdBreaches: Breach[] = [];
  const isLenient = slackMs > SLACK_MS;
  const herdChecker =
    herdLoad &&
    new HerdChecker(site, herdLoad, isLenient, (promise, detail) => {
      herdBreaches.push({ promise, detail });
    });
  herdChecker?.judge();
  const plannedBreaches: Breach[] = [];
  const planned =
    plannedLoad &&
    new PlannedWorkChecker({
      site,
      load: plannedLoad,
      slackMs,
      breach: (promise, detail) => plannedBreaches.push({ promise, detail }),
    }).judge();
  const breaches = [...promises.judge(), ...herdBreaches, ...plannedBreaches];
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
    herds: herdChecker?.reports() ?? [],
    planned,
    lines,
  };
}
