import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import type { Standing } from '../../core/selfreport/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Log, Metrics, SelfReport } from '../../port/index.js';
import type { Block, Gate, SlotAsk } from '../route/index.js';
import type { SlotAnswer } from './slotanswer.js';
import { SlotBook } from './slotbook.js';
import { SlotDesk } from './slotdesk.js';
import type { SlotQuestion } from './slotquestion.js';
import type { StandingNews } from './standingnews.js';
import { Standings } from './standings.js';

/** What the gate of an entry stands on. */
interface UpstreamGateOptions {
  readonly entry: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Part of each limit that this process may give out now: 0 at all but the holder. */
  readonly share: () => number;
  /** Asks the holder for slots; undefined without an answer. */
  readonly draw: (question: SlotQuestion) => Promise<SlotAnswer | undefined>;
  /** Requests that this entry has sent there of late. */
  readonly sentLately: (upstream: UpstreamId) => number;
  /** Other entries are to hear soon of what an answer has just told. */
  readonly heard: () => void;
  /** An upstream has said that it leaves. */
  readonly leaves: (upstream: UpstreamId) => void;
}

/** A limit that falls below this part of what it was is kept as a new one. */
const LOWER_SHARE = 0.8;

/**
 * Whether a request may be sent to an upstream now, by what that has said of itself. It is asked before each send,
 * whichever way the upstream was chosen.
 */
export class UpstreamGate implements Gate {
  private readonly standings: Standings;

  private readonly desk: SlotDesk;

  private readonly book: SlotBook;

  constructor(private readonly options: UpstreamGateOptions) {
    const { clock, log, share } = options;
    this.standings = new Standings(clock, log);
    this.book = new SlotBook({ clock, share });
    this.desk = new SlotDesk({ clock, draw: (upstream, ask) => this.draw(upstream, ask) });
  }

  /** The head of an answer to a request of this entry's. */
  hear(upstream: Upstream, said: SelfReport): void {
    const before = this.standings.of(upstream);
    const after = this.standings.hear(upstream, said);
    if (after === before) return;
    this.changed(upstream.id, before, after);
    const isNews = after.ratePerS !== before.ratePerS || after.isLeaving !== before.isLeaving;
    if (isNews) this.options.heard();
  }

  /**
   * An entry of the list with what its upstream has said since. A start that leaves stays so, however the list has it: the
   * list may be seconds older than an answer, and minutes while the store is away.
   */
  told(upstream: Upstream): Upstream {
    if (upstream.isLeaving || !this.standings.of(upstream).isLeaving) return upstream;
    return { ...upstream, isLeaving: true };
  }

  // What a choice asks.

  blockOf(upstream: Upstream, nowMs: Ms, asker?: string): Block | undefined {
    const { pausedUntilMs, ratePerS } = this.standings.of(upstream);
    // One that is merely asked last gets its requests back whenever the others are busy.
    if (pausedUntilMs > nowMs) return { reason: 'paused', opensInMs: pausedUntilMs - nowMs };
    if (ratePerS === undefined) return undefined;
    const opensInMs = this.desk.opensInMs(upstream.id, nowMs, asker);
    return opensInMs > 0 ? { reason: 'limited', opensInMs } : undefined;
  }

  isLetIn(upstream: Upstream, enteredAtMs: Ms, nowMs: Ms): boolean {
    const { pausedUntilMs, ratePerS } = this.standings.of(upstream);
    if (pausedUntilMs > nowMs) return false;
    if (ratePerS === undefined) return true;
    // A slot is for about now, and one of a limit that has fallen since then is void.
    const isOfThisLimit = enteredAtMs >= this.standings.limitedAtMs(upstream.id);
    return isOfThisLimit && nowMs - enteredAtMs <= rateRules.validMs;
  }

  wanted(upstreams: readonly Upstream[], ask: SlotAsk, nowMs: Ms): void {
    const limited = upstreams.filter((one) => {
      const { ratePerS, pausedUntilMs } = this.standings.of(one);
      return ratePerS !== undefined && pausedUntilMs <= nowMs;
    });
    this.desk.want(
      limited.map(({ id }) => id),
      ask,
      nowMs,
    );
  }

  enter(upstream: Upstream, nowMs: Ms, asker: string): void {
    if (this.standings.of(upstream).ratePerS === undefined) return;
    this.desk.take(upstream.id, nowMs, asker);
  }

  /** The limit of an upstream, as far as a plan should go by it: one long unheard of may be over. */
  limitOf(upstream: Upstream): number | undefined {
    const { ratePerS, rateAtMs } = this.standings.of(upstream);
    return this.options.clock.nowMs() - rateAtMs > rateRules.believedMs ? undefined : ratePerS;
  }

  limitedCount(): number {
    return this.standings.limitedCount();
  }

  // What entries tell each other.

  report(): readonly StandingNews[] {
    return this.standings.report();
  }

  /** Takes what another entry has told. */
  take(entry: string, news: readonly StandingNews[]): void {
    for (const one of news) {
      const [before, after] = this.standings.take(one);
      this.changed(one.upstream, before, after);
      if (after.ratePerS !== undefined) this.book.hear(entry, one, after.ratePerS);
    }
  }

  /** Answers another entry's question for slots, or this entry's own. */
  async answer(question: SlotQuestion): Promise<SlotAnswer> {
    const { entry, news } = question;
    this.take(entry, [news]);
    const { ratePerS } = this.standings.ofStart(news.upstream, news.startedAtMs);
    if (ratePerS === undefined) return { type: 'unlimited' };
    return this.book.draw(question, ratePerS);
  }

  /** This process has taken the right to give slots out. */
  took(): void {
    this.book.took();
  }

  private async draw(
    upstream: UpstreamId,
    { rank, waitMs }: SlotAsk,
  ): Promise<SlotAnswer | undefined> {
    const news = this.standings.newsOf(upstream);
    const { entry, metrics } = this.options;
    if (!news) return undefined;
    const said = await this.options.draw({ entry, news, rank, waitMs });
    metrics.count('direct.slot', 1, { answer: said?.type ?? 'none' });
    return said;
  }

  private changed(upstream: UpstreamId, before: Standing, after: Standing): void {
    this.limitChanged(upstream, before.ratePerS, after.ratePerS);
    if (after.isLeaving && !before.isLeaving) this.options.leaves(upstream);
  }

  private limitChanged(
    upstream: UpstreamId,
    before: number | undefined,
    after: number | undefined,
  ): void {
    const isLower = after !== undefined && after < (before ?? Infinity) * LOWER_SHARE;
    const isOver = before !== undefined && after === undefined;
    if (!isLower && !isOver) return;
    // Slots of the rate before are too many for a lower one.
    this.desk.forget(upstream);
    this.book.forget(upstream);
    if (isLower) this.standings.noteSent(upstream, this.options.sentLately(upstream));
  }
}
