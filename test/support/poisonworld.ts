import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  result,
  VirtualClock,
  type ContentId,
  type Ms,
  type Revision,
  type ServiceId,
  type UpstreamId,
} from '../../src/base/index.js';
import { PoisonGuard } from '../../src/direct/poison/index.js';
import type {
  ChangeFeed,
  KeyValue,
  Log,
  Metrics,
  Swap,
  SwapOutcome,
} from '../../src/port/index.js';

/** Load and faults of a run of the simulation. */
interface PoisonScenario {
  readonly seed: number;
  readonly forMs: Ms;
  readonly entryCount: number;
  readonly upstreamCount: number;
  /** Number of different requests that crash each upstream that runs them. */
  readonly poisonCount: number;
  /** Interval between arrivals of each of them. */
  readonly poisonPeriodMs: Ms;
  /** Crashes of upstreams per second that no request causes. */
  readonly endsPerS: number;
  /** How often per second the connections of an upstream break that keeps running. */
  readonly resetsPerS: number;
  /** How often per second entries are killed (one or all), or are cut off from the store. */
  readonly killsPerS: number;
  readonly outagesPerS: number;
  /** Disables one protection, to show that the simulation detects its loss. */
  readonly defect?: 'no-sharing' | 'no-storage';
  /** How often the caller of a sound request retries it. */
  readonly retryCount: number;
}

/** Result of a run. */
interface PoisonOutcome {
  /** For each crashing request: sends by connected entries later than `CONTACT_MS` after its third crash. */
  readonly lateSends: readonly number[];
  /** Upstreams that crashed under each crashing request. */
  readonly poisonEnds: readonly number[];
  readonly soundAsked: number;
  /** Sound requests that were refused because of crashes under them. */
  readonly soundRefused: number;
}

interface Upstream {
  readonly id: UpstreamId;
  readonly runs: Set<Run>;
  isUp: boolean;
}

interface Run {
  readonly entry: Entry;
  readonly guard: PoisonGuard;
  readonly content: ContentId;
  readonly isPoison: boolean;
  readonly upstream: Upstream;
  readonly sentAtMs: Ms;
  readonly isTrial: boolean;
  /** Remaining retries of its caller. */
  readonly retryCount: number;
}

interface Entry {
  readonly name: string;
  guard: PoisonGuard;
  isUp: boolean;
  isCutOff: boolean;
  /** When it was last killed or started. */
  disturbedAtMs: Ms;
  revision: number;
}

const CONTACT_MS = 3000;
const STEP_MS = 10;
const TICK_MS = 100;
const REPORT_MS = 250;
const HOP_MS = 6;
/** The list shows a crash after three missed renewals; entries learn of it within another second. */
const LAPSE_MS = 3600;
const WATCH_MS = 400;
const RESTART_MS = 3000;
const NEW_HOLDER_MS = 2600;
const LONGEST_RUN_MS = 3000;
const SOUND_PER_S = 60;
const LONGEST_CRASH_MS = 400;
const SERVICE = 's' as ServiceId;
const PREFIX = 'poison/';

const SILENT: Log = { info: () => {}, warn: () => {}, error: () => {} };
const UNCOUNTED: Metrics = { count: () => {}, gauge: () => {}, histogram: () => {} };

/** Simulates entries, upstreams and a store in virtual time, with crashing requests among many sound ones. */
export class PoisonWorld {
  private readonly clock = new VirtualClock();

  private readonly generator;

  private readonly upstreams: Upstream[] = [];

  private readonly entries: Entry[] = [];

  private holder: Entry | undefined;

  private readonly records = new Map<string, KeyValue>();

  private readonly changes: { readonly key: string; readonly item: KeyValue | undefined }[] = [];

  private revision = 0;

  private names = 0;

  private readonly crashCounts: number[];

  private readonly thirdCrashAtMs: (Ms | undefined)[];

  private readonly lateSends: number[];

  private soundAsked = 0;

  private soundRefused = 0;

  constructor(private readonly scenario: PoisonScenario) {
    this.generator = xoroshiro128plus(scenario.seed);
    this.crashCounts = Array<number>(scenario.poisonCount).fill(0);
    this.lateSends = [...this.crashCounts];
    this.thirdCrashAtMs = Array<undefined>(scenario.poisonCount).fill(undefined);
    for (let at = 0; at < scenario.upstreamCount; at += 1) this.addUpstream();
    for (let at = 0; at < scenario.entryCount; at += 1) {
      const name = `entry-${at}`;
      const fresh = { name, isUp: true, isCutOff: false, disturbedAtMs: -Infinity, revision: 0 };
      const entry = fresh as unknown as Entry;
      entry.guard = this.guardOf(entry);
      this.entries.push(entry);
    }
    [this.holder] = this.entries;
  }

  async run(): Promise<PoisonOutcome> {
    this.every(TICK_MS, () => {
      for (const { guard, isUp } of this.entries) if (isUp) guard.tick();
    });
    this.every(REPORT_MS, () => {
      for (const entry of this.entries) this.report(entry);
    });
    this.every(WATCH_MS, () => {
      for (const entry of this.entries) this.watch(entry);
    });
    for (let at = 0; at < this.scenario.poisonCount; at += 1) {
      this.every(this.scenario.poisonPeriodMs, () => {
        void this.ask(`poison-${at}`, at);
      });
    }
    while (this.clock.nowMs() < this.scenario.forMs) {
      this.injectFaults();
      if (this.random() < (SOUND_PER_S * STEP_MS) / 1000) {
        this.names += 1;
        this.soundAsked += 1;
        void this.ask(`sound-${this.names}`, undefined);
      }
      this.clock.advanceTo(this.clock.nowMs() + STEP_MS);
      // Messages between entries are promises, which settle before the next step.
      for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    }
    const { lateSends, crashCounts: poisonEnds, soundAsked, soundRefused } = this;
    return { lateSends, poisonEnds, soundAsked, soundRefused };
  }

  private random(): number {
    return uniformFloat64(this.generator);
  }

  private pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.random() * items.length)];
  }

  private every(ms: Ms, act: () => void): void {
    this.clock.after(ms, () => {
      act();
      this.every(ms, act);
    });
  }

  private occurs(perS: number): boolean {
    return this.random() < (perS * STEP_MS) / 1000;
  }

  private injectFaults(): void {
    const { endsPerS, resetsPerS, killsPerS, outagesPerS } = this.scenario;
    const up = this.upstreams.filter(({ isUp }) => isUp);
    const ending = this.occurs(endsPerS) ? this.pick(up) : undefined;
    if (ending) this.crash(ending);
    const resetting = this.occurs(resetsPerS) ? this.pick(up) : undefined;
    if (resetting) this.breakRuns(resetting);
    if (this.occurs(killsPerS)) this.kill(this.random() < 0.2);
    if (this.occurs(outagesPerS)) this.cutOff();
  }

  private addUpstream(): void {
    this.names += 1;
    this.upstreams.push({ id: `u${this.names}` as UpstreamId, runs: new Set(), isUp: true });
  }

  private crash(upstream: Upstream): void {
    if (!upstream.isUp) return;
    const ended = upstream;
    ended.isUp = false;
    this.breakRuns(upstream);
    this.clock.after(RESTART_MS, () => this.addUpstream());
    this.clock.after(LAPSE_MS, () => {
      this.upstreams.splice(this.upstreams.indexOf(upstream), 1);
      for (const { guard, isUp } of this.entries) if (isUp) guard.upstreamGone(upstream.id);
    });
  }

  private breakRuns(upstream: Upstream): void {
    const { clock } = this;
    for (const run of upstream.runs) {
      this.over(run);
      const { entry, guard, content, sentAtMs, isPoison } = run;
      if (!entry.isUp || entry.guard !== guard) continue;
      const runMs = clock.nowMs() - sentAtMs;
      const { id } = upstream;
      const { isTrial } = run;
      const request = { content, service: SERVICE, model: undefined, path: '/' };
      guard.recordCrash({ ...request, upstream: id, runMs, isTrial });
      if (!isPoison && run.retryCount > 0) void this.ask(content, undefined, run.retryCount - 1);
    }
  }

  private over(run: Run): void {
    run.upstream.runs.delete(run);
    if (run.isTrial) run.guard.end(run.content);
  }

  private kill(isAll: boolean): void {
    const picked = this.pick(this.entries);
    for (const entry of isAll ? this.entries : [picked!]) {
      entry.isUp = false;
      entry.disturbedAtMs = this.clock.nowMs();
      for (const { runs } of this.upstreams) {
        for (const run of runs) if (run.entry === entry) runs.delete(run);
      }
      if (this.holder === entry) this.loseHolder();
      this.clock.after(RESTART_MS, () => this.start(entry));
    }
  }

  private loseHolder(): void {
    this.holder = undefined;
    this.clock.after(NEW_HOLDER_MS, () => {
      this.holder ??= this.pick(this.entries.filter(({ isUp }) => isUp));
    });
  }

  private start(started: Entry): void {
    const entry = started;
    if (entry.isUp) return;
    entry.guard = this.guardOf(entry);
    entry.isUp = true;
    entry.disturbedAtMs = this.clock.nowMs();
    entry.revision = this.changes.length;
    for (const [key, item] of this.records) entry.guard.stored(key, item);
    if (!this.holder) this.loseHolder();
  }

  private cutOff(): void {
    const entry = this.pick(this.entries)!;
    entry.isCutOff = true;
    this.clock.after(LONGEST_RUN_MS, () => {
      entry.isCutOff = false;
    });
  }

  private guardOf(entry: Entry): PoisonGuard {
    const { clock, scenario } = this;
    const isAlone = () => this.holder === entry;
    return new PoisonGuard({
      host: `${entry.name}/${clock.nowMs()}`,
      clock,
      log: SILENT,
      metrics: UNCOUNTED,
      verdictValidMs: 3_600_000,
      prefix: PREFIX,
      swap: (swap) => this.swap(entry, swap),
      isHolder: isAlone,
      requestTrial: (request) =>
        Promise.resolve(this.holder?.isUp ? this.holder.guard.decideTrial(request) : undefined),
      reportSoon: () => {
        clock.after(HOP_MS, () => this.report(entry));
      },
      upstreamCount: () => this.upstreams.length || scenario.upstreamCount,
      isListed: (id) => this.upstreams.some((upstream) => upstream.id === id),
    });
  }

  private async swap(entry: Entry, swap: Swap): ReturnType<ChangeFeed['swap']> {
    const way = entry.isCutOff
      ? this.entries.find(({ isUp, isCutOff }) => isUp && !isCutOff)
      : entry;
    await Promise.resolve();
    const isLost = !way || !entry.isUp || this.scenario.defect !== undefined;
    if (isLost) return result.Err({ type: 'store-unavailable' as const, detail: 'cut off' });
    return this.answerSwap(swap);
  }

  private answerSwap({
    key,
    value,
    expectedRevision,
  }: Swap): Awaited<ReturnType<ChangeFeed['swap']>> {
    const current = this.records.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) {
      const conflict: SwapOutcome = { type: 'conflict', current };
      return result.Ok(conflict);
    }
    this.revision += 1;
    const revision = this.revision as Revision;
    const item = value === undefined ? undefined : { key, value, revision };
    if (item) this.records.set(key, item);
    else this.records.delete(key);
    this.changes.push({ key, item });
    const swapped: SwapOutcome = { type: 'swapped', revision };
    return result.Ok(swapped);
  }

  private watch(watching: Entry): void {
    const entry = watching;
    if (!entry.isUp || entry.isCutOff) return;
    for (const { key, item } of this.changes.slice(entry.revision)) entry.guard.stored(key, item);
    entry.revision = this.changes.length;
  }

  private report(entry: Entry): void {
    const { holder } = this;
    const { guard } = entry;
    if (!entry.isUp || !holder || holder === entry || this.scenario.defect === 'no-sharing') return;
    const report = guard.sync.report();
    this.clock.after(HOP_MS, () => {
      if (!holder.isUp) return;
      const answer = holder.guard.sync.answer(report);
      this.clock.after(HOP_MS, () => {
        if (entry.isUp && entry.guard === guard) guard.sync.answered(report, answer);
      });
    });
  }

  private async ask(
    name: string,
    poison: number | undefined,
    retryCount = this.scenario.retryCount,
  ): Promise<void> {
    const entry = this.pick(this.entries.filter(({ isUp }) => isUp));
    if (!entry) return;
    const { guard } = entry;
    const content = name as ContentId;
    const verdict = guard.verdict(content);
    const isTrial = verdict === 'suspect';
    const mayRun = verdict !== 'poison' && (!isTrial || (await guard.beginTrial(content)));
    if (!mayRun) {
      if (poison === undefined) this.soundRefused += 1;
      return;
    }
    const upstream = this.pick(this.upstreams.filter(({ isUp }) => isUp));
    if (!upstream || !entry.isUp) {
      if (isTrial) guard.end(content);
      return;
    }
    const sentAtMs = this.clock.nowMs();
    const run: Run = {
      ...{ entry, guard, content, upstream, sentAtMs, isTrial, retryCount },
      isPoison: poison !== undefined,
    };
    upstream.runs.add(run);
    if (poison === undefined) this.clock.after(this.random() * LONGEST_RUN_MS, () => this.end(run));
    else this.crashUnder(run, poison);
  }

  private crashUnder(run: Run, poison: number): void {
    const nowMs = this.clock.nowMs();
    const thirdCrashMs = this.thirdCrashAtMs[poison];
    const isConnected = nowMs - run.entry.disturbedAtMs > CONTACT_MS;
    if (thirdCrashMs !== undefined && nowMs - thirdCrashMs > CONTACT_MS && isConnected) {
      this.lateSends[poison]! += 1;
    }
    this.clock.after(20 + this.random() * LONGEST_CRASH_MS, () => {
      if (!run.upstream.isUp) return;
      this.crashCounts[poison]! += 1;
      if (this.crashCounts[poison] === 3) this.thirdCrashAtMs[poison] = this.clock.nowMs();
      this.crash(run.upstream);
    });
  }

  private end(run: Run): void {
    if (!run.upstream.runs.has(run)) return;
    this.over(run);
    const { entry, guard, content, upstream, sentAtMs } = run;
    if (!entry.isUp || entry.guard !== guard) return;
    guard.answered(upstream.id, sentAtMs);
    if (!guard.isIdle) guard.recordCompletion(content);
  }
}
