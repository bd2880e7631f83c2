import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  result,
  VirtualClock,
  type Ms,
  type Revision,
  type ServiceId,
  type TraitId,
  type UpstreamId,
} from '../../src/base/index.js';
import { poisonRules } from '../../src/core/poison/index.js';
import { PoisonGuard, type UpstreamRun } from '../../src/direct/poison/index.js';
import type {
  ChangeFeed,
  KeyValue,
  Log,
  Metrics,
  Swap,
  SwapOutcome,
} from '../../src/port/index.js';

/** Requests with a part of their prompts that crashes upstreams. Their contents differ. */
interface DeadlyPart {
  /** Interval between their arrivals. */
  readonly periodMs: Ms;
  readonly fromMs: Ms;
  readonly untilMs: Ms;
  /** Where the part stands in their prompts. */
  readonly place: 'first' | 'second';
  /** The part that is always beside it; by default the other parts vary like those of sound requests. */
  readonly companion?: string;
  /** The only software that crashes; by default all does. */
  readonly version?: string;
  /** Sound requests hold the part too: it crashes upstreams only from `fromMs` on. */
  readonly isShared?: boolean;
}

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
  readonly defect?:
    | 'no-sharing'
    | 'no-storage'
    | 'ignores-parts'
    /** Any answer with a status below 500 proves its request sound. */
    | 'reject-proves'
    /** An answer without a length whose connection closes proves its request sound. */
    | 'open-end-proves'
    /** Requests with a suspected part are refused, and no run proves a part sound. */
    | 'bars-suspects'
    /** Any number of requests with a suspected part run at a time. */
    | 'no-trials';
  readonly deadlyParts?: readonly DeadlyPart[];
  /** Share of the requests with deadly parts whose upstream crashes before any data has arrived; by default half. */
  readonly silentShare?: number;
  /** Share of the answers that end with their connections. */
  readonly openEndedShare?: number;
  /** Share of the requests with deadly parts that an upstream answers with status 400 in place of running them. */
  readonly rejectedShare?: number;
  /** Software of the upstreams, in turn. */
  readonly versions?: readonly string[];
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
  /** For each deadly part. */
  readonly parts: readonly PartOutcome[];
}

interface PartOutcome {
  readonly crashes: number;
  /** Sends by connected entries later than `CONTACT_MS` after the fifth crash. */
  readonly lateSends: number;
  /** Sound requests with the same first part, while the deadly ones still come, and otherwise. */
  readonly besides: { readonly asked: number; readonly begun: number };
  readonly otherwise: { readonly asked: number; readonly begun: number };
}

/** A sound request with a first part. */
interface SoundArrival {
  readonly atMs: Ms;
  readonly first: string;
  readonly isConnected: boolean;
  hasBegun: boolean;
}

/** A request on its way through an entry. */
interface Ask {
  readonly content: TraitId;
  readonly parts: readonly string[];
  /** Index of the request that crashes upstreams by its content. */
  readonly poison?: number;
  /** Index of its deadly part. */
  readonly deadly?: number;
  readonly retryCount: number;
  readonly arrival?: SoundArrival;
  /** When its entry gives up waiting for a trial. */
  readonly untilMs: Ms;
}

interface Upstream {
  readonly id: UpstreamId;
  readonly version: string;
  readonly runs: Set<Run>;
  isUp: boolean;
}

interface Run {
  readonly entry: Entry;
  readonly guard: PoisonGuard;
  readonly ask: Ask;
  readonly upstream: Upstream;
  readonly sentAtMs: Ms;
  answerBeganAtMs: Ms | undefined;
  readonly hasLength: boolean;
  /** Traits of its trial. */
  trial: readonly TraitId[];
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
const REPORT_TIMEOUT_MS = 400;
const REPORT_SOON_MS = 20;
/** The list shows a crash after three missed renewals; entries learn of it within another second. */
const LAPSE_MS = 3600;
const WATCH_MS = 400;
const RESTART_MS = 3000;
const NEW_HOLDER_MS = 2600;
const LONGEST_RUN_MS = 3000;
const SOUND_PER_S = 60;
const LONGEST_CRASH_MS = 400;
/** Time from sending a request to the beginning of its answer. */
const LONGEST_PREFILL_MS = 250;
/** A deadly part crashes its upstream within this time of the beginning of an answer. */
const PART_CRASH_MS = 100;
const SHORT_ANSWER_SHARE = 0.3;
const SHORT_ANSWER_MS = 200;
const FIRST_PARTS = 3;
const SECOND_PARTS = 60;
/** How long an entry waits for a trial before it refuses a request, and how often it asks. */
const TRIAL_WAIT_MS = 250;
const TRIAL_POLL_MS = 50;
const FIFTH = 5;
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

  private readonly arrivals: SoundArrival[] = [];

  /** Times of the crashes under each deadly part. */
  private readonly partCrashesAtMs: Ms[][];

  private readonly partLateSends: number[];

  constructor(private readonly scenario: PoisonScenario) {
    this.generator = xoroshiro128plus(scenario.seed);
    this.crashCounts = Array<number>(scenario.poisonCount).fill(0);
    this.lateSends = [...this.crashCounts];
    this.thirdCrashAtMs = Array<undefined>(scenario.poisonCount).fill(undefined);
    this.partCrashesAtMs = (scenario.deadlyParts ?? []).map(() => []);
    this.partLateSends = this.partCrashesAtMs.map(() => 0);
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
      const parts = this.soundParts();
      this.every(this.scenario.poisonPeriodMs, () => {
        void this.ask(this.askOf({ content: `poison-${at}`, poison: at, parts }));
      });
    }
    for (const [at, { periodMs }] of (this.scenario.deadlyParts ?? []).entries()) {
      this.every(periodMs, () => this.askDeadly(at));
    }
    while (this.clock.nowMs() < this.scenario.forMs) {
      this.injectFaults();
      if (this.random() < (SOUND_PER_S * STEP_MS) / 1000) this.askSound();
      this.clock.advanceTo(this.clock.nowMs() + STEP_MS);
      // Messages between entries are promises, which settle before the next step.
      for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    }
    const { lateSends, crashCounts: poisonEnds, soundAsked, soundRefused } = this;
    const parts = this.partCrashesAtMs.map((_, at) => this.partOutcome(at));
    return { lateSends, poisonEnds, soundAsked, soundRefused, parts };
  }

  private askOf({
    content,
    parts,
    ...more
  }: { content: string; parts: readonly string[] } & Partial<Omit<Ask, 'content' | 'parts'>>): Ask {
    const untilMs = this.clock.nowMs() + TRIAL_WAIT_MS;
    return { content: content as TraitId, parts, retryCount: 0, untilMs, ...more };
  }

  private soundParts(): readonly string[] {
    const first = Math.floor(this.random() * FIRST_PARTS);
    const second = Math.floor(this.random() * SECOND_PARTS);
    return [`f${first}`, `t${second}`];
  }

  private askSound(): void {
    this.names += 1;
    this.soundAsked += 1;
    const parts = this.soundParts();
    const { retryCount } = this.scenario;
    const nowMs = this.clock.nowMs();
    const arrival = { atMs: nowMs, first: parts[0]!, isConnected: false, hasBegun: false };
    void this.ask(this.askOf({ content: `sound-${this.names}`, parts, retryCount, arrival }));
  }

  private askDeadly(at: number): void {
    const { fromMs, untilMs, place, companion, isShared } = this.scenario.deadlyParts![at]!;
    const nowMs = this.clock.nowMs();
    if (nowMs < fromMs || nowMs > untilMs) return;
    this.names += 1;
    const [first, second] = this.soundParts() as [string, string];
    // A shared part is one that sound requests held until now.
    const part = isShared ? this.partName(at) : `dead-${at}`;
    const parts = place === 'first' ? [part, companion ?? second] : [companion ?? first, part];
    void this.ask(this.askOf({ content: `deadly-${this.names}`, deadly: at, parts }));
  }

  private partName(at: number): string {
    return this.scenario.deadlyParts![at]!.place === 'first' ? `f${at}` : `t${at}`;
  }

  /** Returns the index of a deadly part among the parts of a prompt, deadly at this upstream now; -1 if there is none. */
  private deadlyAmong(parts: readonly string[], { version: software }: Upstream): number {
    const nowMs = this.clock.nowMs();
    return (this.scenario.deadlyParts ?? []).findIndex(({ version, isShared, fromMs }, at) => {
      const part = isShared ? this.partName(at) : `dead-${at}`;
      if (!parts.includes(part) || (version !== undefined && version !== software)) return false;
      return !isShared || nowMs >= fromMs;
    });
  }

  private partOutcome(at: number): PartOutcome {
    const { fromMs, untilMs, companion } = this.scenario.deadlyParts![at]!;
    const crashes = this.partCrashesAtMs[at]!;
    const lastMs = crashes[Math.min(crashes.length, FIFTH) - 1] ?? Infinity;
    const sharing = this.arrivals.filter(({ first }) => first === (companion ?? first));
    const count = (isMeant: (arrival: SoundArrival) => boolean) => {
      const meant = sharing.filter((arrival) => arrival.isConnected && isMeant(arrival));
      return { asked: meant.length, begun: meant.filter(({ hasBegun }) => hasBegun).length };
    };
    const besides = count(({ atMs }) => atMs > lastMs + 2 * CONTACT_MS && atMs < untilMs);
    const otherwise = count(({ atMs }) => atMs < fromMs);
    return { crashes: crashes.length, lateSends: this.partLateSends[at]!, besides, otherwise };
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
    const { versions = ['v1'] } = this.scenario;
    const id = `u${this.names}` as UpstreamId;
    const version = versions[this.names % versions.length]!;
    this.upstreams.push({ id, version, runs: new Set(), isUp: true });
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
      const evidence = this.evidence(run);
      this.over(run);
      const { entry, guard, ask, sentAtMs, hasLength, answerBeganAtMs } = run;
      if (!entry.isUp || entry.guard !== guard) continue;
      // Every second answer without a length stands between two events.
      const looksWhole = !hasLength && answerBeganAtMs !== undefined && this.random() < 0.5;
      if (looksWhole) this.endOpen(run, evidence);
      else guard.recordCrash(evidence);
      const isSound = ask.poison === undefined && ask.deadly === undefined;
      if (isSound && ask.retryCount > 0 && clock.nowMs() > sentAtMs) {
        const retryCount = ask.retryCount - 1;
        void this.ask({
          ...ask,
          retryCount,
          arrival: undefined,
          untilMs: clock.nowMs() + TRIAL_WAIT_MS,
        });
      }
    }
  }

  /** An answer without a length ends with its connection: it looks whole. */
  private endOpen(run: Run, evidence: UpstreamRun): void {
    const { guard, answerBeganAtMs = 0 } = run;
    if (this.scenario.defect === 'open-end-proves') {
      guard.recordSurvival(evidence);
      return;
    }
    const endedAtMs = this.clock.nowMs();
    const isShort = endedAtMs - answerBeganAtMs < poisonRules.survivalMs;
    if (isShort) guard.recordEnd({ ...evidence, answerBeganAtMs, endedAtMs, hasLength: false });
  }

  private evidence({ ask, upstream, sentAtMs, answerBeganAtMs, trial }: Run): UpstreamRun {
    const { content, parts } = ask;
    return {
      content: () => content,
      parts: this.traitsOf(parts),
      service: SERVICE,
      model: undefined,
      path: '/',
      upstream: upstream.id,
      softwareVersion: upstream.version,
      sentAtMs,
      answerBeganAtMs,
      trial,
    };
  }

  private traitsOf(parts: readonly string[]): readonly TraitId[] {
    const { defect } = this.scenario;
    return defect === 'ignores-parts' ? [] : parts.map((part) => `part:${part}` as TraitId);
  }

  private over(run: Run): void {
    run.upstream.runs.delete(run);
    this.endTrial(run);
  }

  private endTrial(ended: Run): void {
    const run = ended;
    if (run.trial.length > 0) run.guard.endTrial(run.trial);
    run.trial = [];
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
    if (!report) return;
    this.clock.after(HOP_MS, () => {
      if (!holder.isUp) {
        this.clock.after(REPORT_TIMEOUT_MS, () => guard.sync.unanswered());
        return;
      }
      const answer = holder.guard.sync.answer(report);
      this.clock.after(HOP_MS, () => {
        if (!entry.isUp || entry.guard !== guard) return;
        guard.sync.answered(report, answer);
        if (guard.sync.hasMore) this.clock.after(REPORT_SOON_MS, () => this.report(entry));
      });
    });
  }

  private async ask(ask: Ask): Promise<void> {
    const entry = this.pick(this.entries.filter(({ isUp }) => isUp));
    if (!entry) return;
    const nowMs = this.clock.nowMs();
    if (ask.arrival) {
      const isConnected = nowMs - entry.disturbedAtMs > CONTACT_MS;
      this.arrivals.push(Object.assign(ask.arrival, { isConnected }));
    }
    await this.offer(entry, entry.guard, ask);
  }

  /** Sends the request if its entry allows it; otherwise waits for a trial, or refuses it. */
  private async offer(entry: Entry, guard: PoisonGuard, ask: Ask): Promise<void> {
    const { defect } = this.scenario;
    const assessment = guard.assess([ask.content, ...this.traitsOf(ask.parts)]);
    const { verdict } = assessment;
    const trial = verdict === 'suspect' && defect !== 'no-trials' ? assessment.traits : [];
    let mayRun = verdict !== 'poison' && !(verdict === 'suspect' && defect === 'bars-suspects');
    if (mayRun && trial.length > 0) mayRun = await guard.beginTrial(trial);
    if (!entry.isUp || entry.guard !== guard) return;
    if (mayRun) {
      this.send(entry, ask, trial);
      return;
    }
    if (verdict === 'suspect' && this.clock.nowMs() < ask.untilMs) {
      this.clock.after(TRIAL_POLL_MS, () => {
        void this.offer(entry, guard, ask);
      });
      return;
    }
    if (ask.poison === undefined && ask.deadly === undefined) this.soundRefused += 1;
  }

  private send(entry: Entry, ask: Ask, trial: readonly TraitId[]): void {
    const { guard } = entry;
    const upstream = this.pick(this.upstreams.filter(({ isUp }) => isUp));
    if (!upstream) {
      if (trial.length > 0) guard.endTrial(trial);
      return;
    }
    const sentAtMs = this.clock.nowMs();
    const hasLength = this.random() >= (this.scenario.openEndedShare ?? 0);
    const answerBeganAtMs = undefined;
    const run: Run = { entry, guard, ask, upstream, sentAtMs, answerBeganAtMs, hasLength, trial };
    upstream.runs.add(run);
    if (ask.poison !== undefined) {
      this.crashUnder(run, ask.poison);
      return;
    }
    const deadly = this.deadlyAmong(ask.parts, upstream);
    if (deadly >= 0) this.countPartSend(entry, deadly);
    const isRejected = deadly >= 0 && this.random() < (this.scenario.rejectedShare ?? 0);
    this.clock.after(20 + this.random() * LONGEST_PREFILL_MS, () => {
      if (isRejected) this.reject(run);
      else this.begin(run, deadly);
    });
  }

  private countPartSend(entry: Entry, deadly: number): void {
    const nowMs = this.clock.nowMs();
    const fifthAtMs = this.partCrashesAtMs[deadly]![FIFTH - 1];
    const isConnected = nowMs - entry.disturbedAtMs > CONTACT_MS;
    if (fifthAtMs === undefined || nowMs - fifthAtMs <= CONTACT_MS || !isConnected) return;
    this.partLateSends[deadly]! += 1;
  }

  private reject(run: Run): void {
    if (!run.upstream.runs.has(run)) return;
    if (this.scenario.defect === 'reject-proves') {
      Object.assign(run, { answerBeganAtMs: this.clock.nowMs() });
      if (this.isAt(run)) run.guard.recordSurvival(this.evidence(run));
    }
    this.over(run);
  }

  private isAt({ entry, guard }: Run): boolean {
    return entry.isUp && entry.guard === guard;
  }

  /** Begins an answer, which a deadly part of its prompt ends with its upstream. */
  private begin(begun: Run, deadly: number): void {
    const run = begun;
    if (!run.upstream.runs.has(run)) return;
    const isSilent = deadly >= 0 && this.random() < (this.scenario.silentShare ?? 0.5);
    if (!isSilent) run.answerBeganAtMs = this.clock.nowMs();
    if (run.ask.arrival) run.ask.arrival.hasBegun = deadly < 0;
    if (deadly >= 0) {
      this.clock.after(this.random() * PART_CRASH_MS, () => this.crashByPart(run, deadly));
      return;
    }
    const isShort = this.random() < SHORT_ANSWER_SHARE;
    const lastsMs = this.random() * (isShort ? SHORT_ANSWER_MS : LONGEST_RUN_MS);
    this.clock.after(poisonRules.survivalMs, () => this.survive(run));
    this.clock.after(lastsMs, () => this.end(run));
  }

  private crashByPart(run: Run, deadly: number): void {
    if (!run.upstream.isUp) return;
    this.partCrashesAtMs[deadly]!.push(this.clock.nowMs());
    this.crash(run.upstream);
  }

  private survive(run: Run): void {
    if (!run.upstream.runs.has(run) || !this.isAt(run)) return;
    if (this.scenario.defect === 'bars-suspects') return;
    run.guard.recordSurvival(this.evidence(run));
    this.endTrial(run);
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
    const evidence = this.evidence(run);
    this.over(run);
    if (!this.isAt(run)) return;
    const { guard, upstream, sentAtMs, answerBeganAtMs = 0, hasLength } = run;
    guard.answered(upstream.id, sentAtMs);
    const endedAtMs = this.clock.nowMs();
    const isProof = this.scenario.defect !== 'bars-suspects';
    if (!isProof || endedAtMs - answerBeganAtMs >= poisonRules.survivalMs) return;
    guard.recordEnd({ ...evidence, answerBeganAtMs, endedAtMs, hasLength });
  }
}
