import type { Clock, ContentId, ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import {
  chanceOfEnd,
  countedCrashes,
  poisonRules,
  type Crash,
  type Suspect,
  type Verdict,
} from '../../core/poison/index.js';
import type { ChangeFeed, KeyValue, Log, Metrics, Swap } from '../../port/index.js';
import { PoisonBook } from './poisonbook.js';
import { PoisonLink } from './poisonlink.js';
import { PoisonStore } from './poisonstore.js';
import type { TrialQuestion } from './trialquestion.js';
import { Trials } from './trials.js';

/** What the desk needs of its entry. */
interface PoisonTools {
  readonly host: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** How long a verdict stands, from its first crash. */
  readonly keepMs: Ms;
  /** Keys of the records in the store begin so. */
  readonly prefix: string;
  readonly swap: (swap: Swap) => ReturnType<ChangeFeed['swap']>;
  readonly isHolder: () => boolean;
  /** Undefined without an answer. */
  readonly askHolder: (question: TrialQuestion) => Promise<boolean | undefined>;
  /** Something is new that other entries should hear of. */
  readonly tellSoon: () => void;
  readonly upstreamCount: (service: ServiceId) => number;
  /** Whether the list, as it is now, names an upstream; undefined while the list is not up to date. */
  readonly isListed: (upstream: UpstreamId) => boolean | undefined;
}

/** A run under which its upstream seemed to end. */
interface BrokenRun {
  readonly content: ContentId;
  readonly service: ServiceId;
  readonly model: ModelId | undefined;
  readonly path: string;
  readonly upstream: UpstreamId;
  readonly runMs: Ms;
  /** It was suspected already, and ran alone. */
  readonly isTrial: boolean;
}

/** How often old entries are looked for. */
const FORGET_EVERY_MS = 5000;

/**
 * Keeps requests that end their upstreams from ending more of them. What one entry sees, all know within a second
 * through the holder of orders, and entries that start later through the store. A request under which one upstream
 * has ended runs alone in the fleet; one that is found to be the cause is not sent on any more.
 */
export class PoisonDesk {
  readonly link: PoisonLink;

  private readonly book: PoisonBook;

  private readonly store: PoisonStore;

  private readonly trials = new Trials();

  private forgotAtMs: Ms = 0;

  constructor(private readonly tools: PoisonTools) {
    const { host, clock, log, prefix, swap } = tools;
    const name = `${host}/${clock.wallMs().toString(36)}`;
    this.book = new PoisonBook(name, (...change) => this.changed(...change));
    this.store = new PoisonStore({ book: this.book, prefix, log, swap });
    this.link = new PoisonLink(this.book, clock);
  }

  /** True while no request is suspected: nothing has to be looked up. */
  get isIdle(): boolean {
    return this.book.isEmpty;
  }

  verdict(content: ContentId): Verdict {
    return this.book.verdict(content);
  }

  /** How long the verdict on a request stands yet. */
  standsMs(content: ContentId): Ms {
    const suspect = this.book.get(content);
    if (!suspect) return 0;
    return Math.max(0, suspect.sinceWallMs + this.tools.keepMs - this.tools.clock.wallMs());
  }

  /** An upstream closed the connection under a run without a whole answer, and was not about to leave. */
  crashed({ content, service, model, path, upstream, runMs, isTrial }: BrokenRun): void {
    const { clock, metrics, upstreamCount, tellSoon } = this.tools;
    const nowMs = clock.nowMs();
    const recentEnds = this.book.endsSince(nowMs - poisonRules.windowMs, upstream);
    const chance = chanceOfEnd(runMs, { upstreamCount: upstreamCount(service), recentEnds });
    const crash: Crash = { upstream, runMs: Math.round(runMs), chance, isTrial, state: 'open' };
    const sinceWallMs = clock.wallMs();
    metrics.count('direct.run_broke_off', 1);
    this.book.add({ content, service, model, path, sinceWallMs, crashes: [crash] }, nowMs);
    tellSoon();
  }

  /** A request ran to the end of its answer: whatever upstreams ended under it before, it was not the cause. */
  ranWell(content: ContentId): void {
    if (this.book.clear(content, this.tools.clock.nowMs())) this.tools.tellSoon();
  }

  /** An upstream answered a request that was sent to it at that time. */
  answered(upstream: UpstreamId, sentAtMs: Ms): void {
    if (!this.isIdle) this.book.answered(upstream, sentAtMs, this.tools.clock.nowMs());
  }

  /** It left the list, or has started again. */
  upstreamGone(upstream: UpstreamId): void {
    this.book.settle(upstream, 'ended', this.tools.clock.nowMs());
  }

  /** It says that it is about to end as planned. */
  upstreamLeaves(upstream: UpstreamId): void {
    this.book.settle(upstream, 'explained', this.tools.clock.nowMs());
  }

  /** Whether a suspected request may run now; `end` has to follow if it may. */
  async begin(content: ContentId): Promise<boolean> {
    const { host, isHolder, askHolder } = this.tools;
    if (isHolder()) return this.hearTrial({ content, entry: host, isOver: false });
    const said = await askHolder({ content, entry: host, isOver: false });
    if (said !== undefined) return said;
    // Nobody can say whether it runs elsewhere. After one end that is most probably bad luck.
    const suspect = this.book.get(content);
    return !suspect || countedCrashes(suspect).length < poisonRules.leastCrashes;
  }

  end(content: ContentId): void {
    const { host, isHolder, askHolder } = this.tools;
    const question = { content, entry: host, isOver: true };
    if (isHolder()) this.hearTrial(question);
    else void askHolder(question);
  }

  /** What another entry asks this one as the holder of orders. */
  hearTrial({ content, entry, isOver }: TrialQuestion): boolean {
    if (isOver) this.trials.end(content, entry);
    if (isOver || this.book.verdict(content) === 'poison') return false;
    return this.trials.begin(content, entry, this.tools.clock.nowMs());
  }

  /** A record of the store has changed, or is gone. */
  stored(key: string, item: KeyValue | undefined): void {
    this.store.heard(key, item, this.tools.clock.nowMs());
  }

  list(): readonly Suspect[] {
    return this.book.all();
  }

  /** An operator wants a request to be tried again. Returns true if it was suspected. */
  lift(content: ContentId): boolean {
    const isLifted = this.book.clear(content, this.tools.clock.nowMs());
    if (!isLifted) return false;
    this.tools.log.info('verdict lifted', { content });
    this.tools.tellSoon();
    return true;
  }

  tick(): void {
    const nowMs = this.tools.clock.nowMs();
    for (const upstream of this.book.overdue(nowMs)) {
      const isListed = this.tools.isListed(upstream);
      if (isListed !== undefined) {
        this.book.settle(upstream, isListed ? 'explained' : 'ended', nowMs);
      }
    }
    this.store.tick(nowMs);
    if (nowMs - this.forgotAtMs < FORGET_EVERY_MS) return;
    this.forgotAtMs = nowMs;
    this.book.forget(nowMs);
    this.expire(nowMs);
    const { suspects, poison } = this.book.sizes;
    this.tools.metrics.gauge('direct.requests_suspected', suspects);
    this.tools.metrics.gauge('direct.requests_poison', poison);
  }

  /** A verdict that has stood long enough is tried anew: what it was found on may have been replaced. */
  private expire(nowMs: Ms): void {
    for (const { content } of this.book.all()) {
      if (this.book.verdict(content) !== 'poison' || this.standsMs(content) > 0) continue;
      this.tools.log.info('verdict expired', { content });
      this.book.clear(content, nowMs);
    }
  }

  private changed(suspect: Suspect, verdict: Verdict, before: Verdict): void {
    const { clock, isHolder, log, metrics } = this.tools;
    const { content, service, model, path, crashes } = suspect;
    this.store.changed(suspect, clock.nowMs(), isHolder());
    if (verdict === before || (verdict !== 'poison' && before !== 'poison')) return;
    metrics.count('direct.verdict', 1, { verdict });
    log.warn('request judged', { content, verdict, before, service, model, path, crashes });
  }
}
