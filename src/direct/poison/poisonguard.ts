import type { Clock, Ms, ServiceId, TraitId, UpstreamId } from '../../base/index.js';
import {
  crashProbability,
  countedCrashes,
  isRefuted,
  partTrait,
  poisonRules,
  type Assessment,
  type Conviction,
  type Crash,
  type ListedSuspect,
  type Suspect,
  type Verdict,
} from '../../core/poison/index.js';
import type { ChangeFeed, KeyValue, Log, Metrics, Swap } from '../../port/index.js';
import { EndedRuns } from './endedruns.js';
import { Proofs } from './proofs.js';
import { readSuspect } from './readsuspect.js';
import { SuspectTable } from './suspecttable.js';
import { SuspectSync } from './suspectsync.js';
import { SuspectStore } from './suspectstore.js';
import { traitFields } from './traitfields.js';
import type { TrialRequest } from './trialrequest.js';
import { Trials } from './trials.js';
import type { UpstreamRun } from './upstreamrun.js';

interface PoisonGuardOptions {
  readonly host: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** How long a verdict holds, from the first crash. */
  readonly verdictValidMs: Ms;
  /** Prefix of the records' keys in the store. */
  readonly prefix: string;
  readonly swap: (swap: Swap) => ReturnType<ChangeFeed['swap']>;
  readonly isHolder: () => boolean;
  /** Asks the order lease holder; undefined without an answer. */
  readonly requestTrial: (request: TrialRequest) => Promise<boolean | undefined>;
  /** Sends the next report to the holder soon, because there is news for other entries. */
  readonly reportSoon: () => void;
  readonly upstreamCount: (service: ServiceId) => number;
  /** Whether the current list contains an upstream; undefined while the list is not up to date. */
  readonly isListed: (upstream: UpstreamId) => boolean | undefined;
}

/** Interval between removals of expired traits. */
const EXPIRY_INTERVAL_MS = 5000;

/**
 * Keeps requests that crash upstreams from crashing more of them. What is blamed is a trait: the content of a request
 * or a part of its prompt. All entries learn within a second what one of them has seen, through the order lease holder;
 * entries that start later learn it from the store. After a crash, requests with a suspected trait run one at a time in
 * the whole fleet; requests with one that is found to be the cause are not sent any more.
 */
export class PoisonGuard {
  readonly sync: SuspectSync;

  private readonly book: SuspectTable;

  private readonly store: SuspectStore;

  private readonly trials = new Trials();

  /** Convicted traits that have run as a trial again, by the permission of this entry as the order lease holder. */
  private readonly retried = new Set<TraitId>();

  private readonly proofs = new Proofs();

  private readonly endedRuns = new EndedRuns();

  private expiredAtMs: Ms = 0;

  constructor(private readonly options: PoisonGuardOptions) {
    const { host, clock, log, prefix, swap } = options;
    const name = `${host}/${clock.wallMs().toString(36)}`;
    this.book = new SuspectTable({
      name,
      changed: (suspect) => this.store.changed(suspect, clock.nowMs(), options.isHolder()),
      judged: (...judgement) => this.judged(...judgement),
    });
    const learn = (reported: Suspect) => this.learn(reported);
    this.sync = new SuspectSync(clock, this.book, learn);
    const isLeftToHolder = (trait: TraitId) =>
      !options.isHolder() && this.sync.isKnownToHolder(trait);
    const learnStored = (stored: Suspect) => {
      this.learn(stored);
      this.sync.stored(stored);
    };
    const parts = { book: this.book, prefix, log, swap, learn: learnStored, isLeftToHolder };
    this.store = new SuspectStore(parts);
  }

  /** True while no trait is suspected, so that no content id has to be computed. */
  get isIdle(): boolean {
    return this.book.isEmpty;
  }

  assess(traits: readonly TraitId[]): Assessment {
    return this.book.assess(traits, this.options.clock.nowMs());
  }

  verdict(trait: TraitId): Verdict {
    return this.book.verdict(trait);
  }

  /** Returns the remaining validity of the verdict on a trait. */
  verdictRemainingMs(trait: TraitId): Ms {
    const suspect = this.book.get(trait);
    if (!suspect) return 0;
    return Math.max(
      0,
      suspect.sinceWallMs + this.options.verdictValidMs - this.options.clock.wallMs(),
    );
  }

  /** Records that an upstream, which was not about to leave, closed the connection before its answer was complete. */
  recordCrash(run: UpstreamRun): void {
    const { clock, metrics } = this.options;
    const nowMs = clock.nowMs();
    metrics.count('direct.run_broke_off', 1);
    this.addCrash(run, [run.content(), ...this.partsInDoubt(run, nowMs, nowMs)], 'open');
    // An answer that had just ended, or that ended with its connection, may be the one that crashed the upstream.
    for (const ended of this.endedRuns.takeAt(run.upstream)) {
      const aliveUntilMs = ended.hasLength ? nowMs : ended.endedAtMs;
      this.addCrash(ended, this.partsInDoubt(ended, aliveUntilMs, nowMs), 'open');
    }
    this.reportSoon();
  }

  /** Records that an answer goes on well after it began. It proves the traits of its request sound. */
  recordSurvival(run: UpstreamRun): void {
    const { answerBeganAtMs } = run;
    if (answerBeganAtMs === undefined) return;
    const nowMs = this.options.clock.nowMs();
    const { service, softwareVersion, parts } = run;
    for (const part of parts) this.proofs.record(part, run, answerBeganAtMs);
    if (this.isIdle) return;
    const proof = { service, softwareVersion, answerBeganAtMs };
    const refuted = [run.content(), ...parts].filter((trait) =>
      this.book.refute(trait, proof, nowMs),
    );
    if (refuted.length > 0) this.reportRefuted(refuted, run);
  }

  /**
   * Records an answer that ended, complete as far as its framing tells, before it had gone on for long enough to prove
   * anything.
   */
  recordEnd(run: Parameters<EndedRuns['add']>[0]): void {
    this.endedRuns.add(run);
  }

  /** Records that an upstream answered a request that was sent to it at `sentAtMs`. */
  answered(upstream: UpstreamId, sentAtMs: Ms): void {
    this.endedRuns.answered(upstream, sentAtMs);
    if (!this.isIdle) this.book.answered(upstream, sentAtMs, this.options.clock.nowMs());
  }

  /** Records that an upstream left the list or has restarted. */
  upstreamGone(upstream: UpstreamId): void {
    const nowMs = this.options.clock.nowMs();
    for (const ended of this.endedRuns.takeAt(upstream)) {
      if (ended.hasLength) continue;
      this.addCrash(ended, this.partsInDoubt(ended, ended.endedAtMs, nowMs), 'ended');
    }
    this.book.settle(upstream, 'ended', nowMs);
  }

  /** Records that an upstream has reported a planned stop. */
  upstreamLeaving(upstream: UpstreamId): void {
    this.endedRuns.takeAt(upstream);
    this.book.settle(upstream, 'explained', this.options.clock.nowMs());
  }

  /** Returns true if a request with these suspected traits may run now; a call of `endTrial` has to follow then. */
  async beginTrial(traits: readonly TraitId[]): Promise<boolean> {
    const { host, clock, isHolder, requestTrial } = this.options;
    const request = { traits, entry: host, isOver: false };
    if (isHolder()) return this.decideTrial(request);
    const decision = await requestTrial(request);
    if (decision !== undefined) return decision;
    // Without an answer of the holder, it is unknown whether others run the traits. This entry does, one request at a
    // time, if at most one crash counts against each: a single crash is most probably a coincidence.
    const isWeak = (trait: TraitId) => {
      const suspect = this.book.get(trait);
      return !suspect || countedCrashes(suspect).length < poisonRules.maxCrashesWithoutHolder;
    };
    return traits.every(isWeak) && this.trials.begin(traits, host, clock.nowMs());
  }

  endTrial(traits: readonly TraitId[]): void {
    const { host, isHolder, requestTrial } = this.options;
    const request = { traits, entry: host, isOver: true };
    this.trials.end(traits, host);
    if (!isHolder()) void requestTrial(request);
  }

  /** Decides another entry's trial request, as the order lease holder. */
  decideTrial({ traits, entry, isOver }: TrialRequest): boolean {
    if (isOver) this.trials.end(traits, entry);
    if (isOver || this.assess(traits).verdict === 'poison') return false;
    const convicted = this.book.convictedAmong(traits);
    // A trial that ends without evidence would otherwise be followed by any number of others.
    if (convicted.some((trait) => this.retried.has(trait))) return false;
    const isBegun = this.trials.begin(traits, entry, this.options.clock.nowMs());
    if (isBegun) for (const trait of convicted) this.retried.add(trait);
    return isBegun;
  }

  /** Applies a change or deletion of a record in the store. */
  stored(key: string, item: KeyValue | undefined): void {
    this.store.heard(key, item, this.options.clock.nowMs());
  }

  /** Returns all suspects with their verdicts, for an operator. */
  list(): readonly ListedSuspect[] {
    return this.book.all().map((suspect) => ({ ...suspect, verdict: this.verdict(suspect.trait) }));
  }

  /** Clears a trait on an operator's behalf. Returns true if it was suspected. */
  lift(trait: TraitId): boolean {
    const isLifted = this.book.clear(trait, this.options.clock.nowMs());
    if (!isLifted) return false;
    this.options.log.info('verdict lifted', traitFields(trait));
    this.reportSoon();
    return true;
  }

  tick(): void {
    const nowMs = this.options.clock.nowMs();
    this.proofs.expire(nowMs);
    for (const run of this.endedRuns.takeSurvived(nowMs)) this.recordSurvival(run);
    for (const upstream of this.book.overdue(nowMs)) {
      const isListed = this.options.isListed(upstream);
      if (isListed !== undefined) {
        this.book.settle(upstream, isListed ? 'explained' : 'ended', nowMs);
      }
    }
    this.book.update();
    this.store.tick(nowMs);
    if (nowMs - this.expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    this.book.expire(nowMs);
    this.expireVerdicts(nowMs);
    const { suspects, poison } = this.book.sizes;
    this.options.metrics.gauge('direct.requests_suspected', suspects);
    this.options.metrics.gauge('direct.requests_poison', poison);
  }

  private reportSoon(): void {
    // Another report follows the one on its way if there is more to tell.
    if (!this.sync.isWaiting) this.options.reportSoon();
  }

  /** Adds a crash to traits of a run. */
  private addCrash(run: UpstreamRun, traits: readonly TraitId[], state: Crash['state']): void {
    const { clock, upstreamCount } = this.options;
    const { service, model, path, upstream, softwareVersion, trial } = run;
    const nowMs = clock.nowMs();
    const runMs = Math.round(nowMs - run.sentAtMs);
    const recentCrashes = this.book.crashesSince(nowMs - poisonRules.windowMs, upstream);
    const chance = crashProbability(runMs, {
      upstreamCount: upstreamCount(service),
      recentCrashes,
    });
    const sinceWallMs = clock.wallMs();
    for (const trait of traits) {
      const companions = traits.filter((other) => other !== trait).sort();
      const seen = { upstream, service, softwareVersion, runMs, chance };
      const isTrial = trial.includes(trait);
      const hasPriorProof = this.proofs.latest(trait, run) !== undefined;
      const crash: Crash = { ...seen, isTrial, state, hasPriorProof, companions };
      const isPart = partTrait.partOf(trait) !== undefined;
      const recognised = isPart ? {} : { model, path };
      this.book.add({ trait, service, ...recognised, sinceWallMs, crashes: [crash] }, nowMs);
      if (isPart) this.logSuspected(trait, crash);
    }
  }

  /**
   * Returns the parts of a run that may have crashed its upstream, which was alive until `aliveUntilMs`: neither this
   * run nor a recent one proves them sound.
   */
  private partsInDoubt(run: UpstreamRun, aliveUntilMs: Ms, nowMs: Ms): readonly TraitId[] {
    const { parts, answerBeganAtMs = aliveUntilMs } = run;
    if (aliveUntilMs - answerBeganAtMs >= poisonRules.survivalMs) return [];
    return parts.filter((part) => !this.isRecentlyProven(part, run, nowMs));
  }

  private isRecentlyProven(trait: TraitId, software: UpstreamRun, nowMs: Ms): boolean {
    const beganAtMs = this.proofs.latest(trait, software);
    return beganAtMs !== undefined && isRefuted(nowMs, beganAtMs);
  }

  /** Merges what another entry reported, and adds what this entry has seen of runs with the trait. */
  private learn(reported: Suspect): void {
    const nowMs = this.options.clock.nowMs();
    const suspect = readSuspect(reported);
    if (!suspect) {
      this.options.log.error('reported suspect not readable', {});
      return;
    }
    const { trait } = suspect;
    this.book.add(suspect, nowMs);
    for (const { service, softwareVersion } of suspect.crashes) {
      const answerBeganAtMs = this.proofs.latest(trait, { service, softwareVersion });
      if (answerBeganAtMs === undefined) continue;
      const proof = { service, softwareVersion, answerBeganAtMs };
      if (this.book.refute(trait, proof, nowMs)) this.reportRefuted([trait], proof);
      else if (this.book.vouch(trait, proof, nowMs)) this.reportSoon();
    }
  }

  private reportRefuted(
    traits: readonly TraitId[],
    proof: Pick<UpstreamRun, 'service' | 'softwareVersion' | 'answerBeganAtMs'>,
  ): void {
    const { clock, log } = this.options;
    const { service, softwareVersion, answerBeganAtMs = 0 } = proof;
    const beganAgoMs = Math.round(clock.nowMs() - answerBeganAtMs);
    for (const trait of traits) {
      if (partTrait.partOf(trait) === undefined) continue;
      log.info('suspicion cleared', {
        ...traitFields(trait),
        service,
        softwareVersion,
        beganAgoMs,
      });
    }
    this.reportSoon();
  }

  private logSuspected(trait: TraitId, crash: Crash): void {
    const { companions, ...fields } = crash;
    this.options.log.warn('prompt part suspected', {
      ...traitFields(trait),
      ...fields,
      companions: companions.map(traitFields),
    });
  }

  /** Clears traits whose verdict has expired: the software that crashed may have been replaced. */
  private expireVerdicts(nowMs: Ms): void {
    for (const { trait } of this.book.all()) {
      if (this.book.verdict(trait) !== 'poison' || this.verdictRemainingMs(trait) > 0) continue;
      this.options.log.info('verdict expired', traitFields(trait));
      this.book.clear(trait, nowMs);
    }
  }

  private judged(suspect: Suspect, verdict: Verdict, conviction: Conviction | undefined): void {
    const { log, metrics } = this.options;
    const { trait, service, model, path, crashes } = suspect;
    if (verdict !== 'poison') this.retried.delete(trait);
    const others = [...(conviction?.traits ?? [])].filter((other) => other !== trait);
    metrics.count('direct.verdict', 1, { verdict });
    const message = path === undefined ? 'prompt part judged' : 'request judged';
    log.warn(message, {
      ...traitFields(trait),
      ...{ verdict, service, model, path, crashes },
      onlyWith: others.map(traitFields),
    });
  }
}
