import type { Clock, ContentId, ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import {
  crashProbability,
  countedCrashes,
  poisonRules,
  type Crash,
  type Suspect,
  type Verdict,
} from '../../core/poison/index.js';
import type { ChangeFeed, KeyValue, Log, Metrics, Swap } from '../../port/index.js';
import { SuspectTable } from './suspecttable.js';
import { SuspectSync } from './suspectsync.js';
import { SuspectStore } from './suspectstore.js';
import type { TrialRequest } from './trialrequest.js';
import { Trials } from './trials.js';

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

/** A run whose upstream seemed to crash. */
interface BrokenRun {
  readonly content: ContentId;
  readonly service: ServiceId;
  readonly model: ModelId | undefined;
  readonly path: string;
  readonly upstream: UpstreamId;
  readonly runMs: Ms;
  /** The request was suspected already and ran alone. */
  readonly isTrial: boolean;
}

/** Interval between removals of expired requests. */
const EXPIRY_INTERVAL_MS = 5000;

/**
 * Keeps a request that crashes upstreams from crashing more of them. All entries learn within a second what one of them
 * has seen, through the order lease holder; entries that start later learn it from the store. After one crash a
 * request is suspected and runs one at a time in the whole fleet; one found to be the cause is not sent any more.
 */
export class PoisonGuard {
  readonly sync: SuspectSync;

  private readonly book: SuspectTable;

  private readonly store: SuspectStore;

  private readonly trials = new Trials();

  private expiredAtMs: Ms = 0;

  constructor(private readonly options: PoisonGuardOptions) {
    const { host, clock, log, prefix, swap } = options;
    const name = `${host}/${clock.wallMs().toString(36)}`;
    this.book = new SuspectTable(name, (...change) => this.changed(...change));
    this.store = new SuspectStore({ book: this.book, prefix, log, swap });
    this.sync = new SuspectSync(this.book, clock);
  }

  /** True while no request is suspected, so that no content id has to be computed. */
  get isIdle(): boolean {
    return this.book.isEmpty;
  }

  verdict(content: ContentId): Verdict {
    return this.book.verdict(content);
  }

  /** Returns the remaining validity of the verdict on a request. */
  verdictRemainingMs(content: ContentId): Ms {
    const suspect = this.book.get(content);
    if (!suspect) return 0;
    return Math.max(
      0,
      suspect.sinceWallMs + this.options.verdictValidMs - this.options.clock.wallMs(),
    );
  }

  /** Records that an upstream, which was not about to leave, closed the connection before its answer was complete. */
  recordCrash({ content, service, model, path, upstream, runMs, isTrial }: BrokenRun): void {
    const { clock, metrics, upstreamCount, reportSoon } = this.options;
    const nowMs = clock.nowMs();
    const recentCrashes = this.book.crashesSince(nowMs - poisonRules.windowMs, upstream);
    const chance = crashProbability(runMs, {
      upstreamCount: upstreamCount(service),
      recentCrashes,
    });
    const crash: Crash = { upstream, runMs: Math.round(runMs), chance, isTrial, state: 'open' };
    const sinceWallMs = clock.wallMs();
    metrics.count('direct.run_broke_off', 1);
    this.book.add({ content, service, model, path, sinceWallMs, crashes: [crash] }, nowMs);
    reportSoon();
  }

  /** Records that a request ran to the end of its answer: it was not the cause of earlier crashes. */
  recordCompletion(content: ContentId, evidence: Readonly<Record<string, unknown>> = {}): void {
    if (!this.book.clear(content, this.options.clock.nowMs())) return;
    this.options.log.info('suspicion cleared', { content, ...evidence });
    this.options.reportSoon();
  }

  /** Records that an upstream answered a request that was sent to it at `sentAtMs`. */
  answered(upstream: UpstreamId, sentAtMs: Ms): void {
    if (!this.isIdle) this.book.answered(upstream, sentAtMs, this.options.clock.nowMs());
  }

  /** Records that an upstream left the list or has restarted. */
  upstreamGone(upstream: UpstreamId): void {
    this.book.settle(upstream, 'ended', this.options.clock.nowMs());
  }

  /** Records that an upstream has reported a planned stop. */
  upstreamLeaving(upstream: UpstreamId): void {
    this.book.settle(upstream, 'explained', this.options.clock.nowMs());
  }

  /** Returns true if a suspected request may run now; a call of `end` has to follow then. */
  async beginTrial(content: ContentId): Promise<boolean> {
    const { host, isHolder, requestTrial } = this.options;
    if (isHolder()) return this.decideTrial({ content, entry: host, isOver: false });
    const decision = await requestTrial({ content, entry: host, isOver: false });
    if (decision !== undefined) return decision;
    // Without an answer of the holder, it is unknown whether the request runs elsewhere. It runs here if at most one
    // crash counts against it: a single crash is most probably a coincidence.
    const suspect = this.book.get(content);
    return !suspect || countedCrashes(suspect).length < poisonRules.minCrashes;
  }

  end(content: ContentId): void {
    const { host, isHolder, requestTrial } = this.options;
    const request = { content, entry: host, isOver: true };
    if (isHolder()) this.decideTrial(request);
    else void requestTrial(request);
  }

  /** Decides another entry's trial request, as the order lease holder. */
  decideTrial({ content, entry, isOver }: TrialRequest): boolean {
    if (isOver) this.trials.end(content, entry);
    if (isOver || this.book.verdict(content) === 'poison') return false;
    return this.trials.begin(content, entry, this.options.clock.nowMs());
  }

  /** Applies a change or deletion of a record in the store. */
  stored(key: string, item: KeyValue | undefined): void {
    this.store.heard(key, item, this.options.clock.nowMs());
  }

  list(): readonly Suspect[] {
    return this.book.all();
  }

  /** Clears a request on an operator's behalf. Returns true if it was suspected. */
  lift(content: ContentId): boolean {
    const isLifted = this.book.clear(content, this.options.clock.nowMs());
    if (!isLifted) return false;
    this.options.log.info('verdict lifted', { content });
    this.options.reportSoon();
    return true;
  }

  tick(): void {
    const nowMs = this.options.clock.nowMs();
    for (const upstream of this.book.overdue(nowMs)) {
      const isListed = this.options.isListed(upstream);
      if (isListed !== undefined) {
        this.book.settle(upstream, isListed ? 'explained' : 'ended', nowMs);
      }
    }
    this.store.tick(nowMs);
    if (nowMs - this.expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    this.book.expire(nowMs);
    this.expireVerdicts(nowMs);
    const { suspects, poison } = this.book.sizes;
    this.options.metrics.gauge('direct.requests_suspected', suspects);
    this.options.metrics.gauge('direct.requests_poison', poison);
  }

  /** Clears requests whose verdict has expired: the software that crashed may have been replaced. */
  private expireVerdicts(nowMs: Ms): void {
    for (const { content } of this.book.all()) {
      if (this.book.verdict(content) !== 'poison' || this.verdictRemainingMs(content) > 0) continue;
      this.options.log.info('verdict expired', { content });
      this.book.clear(content, nowMs);
    }
  }

  private changed(suspect: Suspect, verdict: Verdict, before: Verdict): void {
    const { clock, isHolder, log, metrics } = this.options;
    const { content, service, model, path, crashes } = suspect;
    this.store.changed(suspect, clock.nowMs(), isHolder());
    if (verdict === before || (verdict !== 'poison' && before !== 'poison')) return;
    metrics.count('direct.verdict', 1, { verdict });
    log.warn('request judged', { content, verdict, before, service, model, path, crashes });
  }
}
