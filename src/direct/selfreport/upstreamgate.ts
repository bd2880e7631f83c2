import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import type { ReportedState } from '../../core/selfreport/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Log, Metrics, SelfReport } from '../../port/index.js';
import type { Block, Gate, SlotWaiter } from '../route/index.js';
import type { SlotAnswer } from './slotanswer.js';
import { SlotSchedule } from './slotschedule.js';
import { SlotClient } from './slotclient.js';
import type { SlotRequest } from './slotrequest.js';
import type { ReportedStateUpdate } from './reportedstateupdate.js';
import { ReportedStates } from './reportedstates.js';

interface UpstreamGateOptions {
  readonly entry: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Fraction of each limit that this process may grant now: 0 unless it is the holder. */
  readonly share: () => number;
  /** Asks the holder for a slot; undefined without an answer. */
  readonly draw: (request: SlotRequest) => Promise<SlotAnswer | undefined>;
  /** Returns the number of requests that this entry has sent there in the last window. */
  readonly recentSends: (upstream: UpstreamId) => number;
  /** Called when an answer has changed a state that other entries should learn soon. */
  readonly heard: () => void;
  /** Called when an upstream has reported that it leaves. */
  readonly upstreamLeaving: (upstream: UpstreamId) => void;
}

/** A limit that falls below this fraction of the previous one is treated as a new limit. */
const LOWER_SHARE = 0.8;

/**
 * Decides by an upstream's reported state whether a request may be sent to it now. It is consulted before each send,
 * however the upstream was chosen.
 */
export class UpstreamGate implements Gate {
  private readonly standings: ReportedStates;

  private readonly client: SlotClient;

  private readonly book: SlotSchedule;

  constructor(private readonly options: UpstreamGateOptions) {
    const { clock, log, share } = options;
    this.standings = new ReportedStates(clock, log);
    this.book = new SlotSchedule({ clock, share });
    this.client = new SlotClient({
      clock,
      draw: (upstream, ask) => this.draw(upstream, ask),
    });
  }

  /** Applies the report in the head of an answer to a request of this entry. */
  onAnswer(upstream: Upstream, report: SelfReport): void {
    const before = this.standings.of(upstream);
    const after = this.standings.applyAnswer(upstream, report);
    if (after === before) return;
    this.changed(upstream.id, before, after);
    const hasNews = after.ratePerS !== before.ratePerS || after.isLeaving !== before.isLeaving;
    if (hasNews) this.options.heard();
  }

  /**
   * Returns a list record with the upstream's reported state applied. An incarnation that leaves stays marked as
   * leaving, whatever the list says: the list may be seconds older than an answer, and minutes during an outage of the
   * store.
   */
  withReportedState(upstream: Upstream): Upstream {
    if (upstream.isLeaving || !this.standings.of(upstream).isLeaving) return upstream;
    return { ...upstream, isLeaving: true };
  }

  // Used when an upstream is chosen.

  blockOf(upstream: Upstream, nowMs: Ms, requestId?: string): Block | undefined {
    const { backoffUntilMs, ratePerS } = this.standings.of(upstream);
    // A backoff blocks the upstream: if it were only ranked last, it would still get requests whenever the others are
    // busy.
    if (backoffUntilMs > nowMs) return { reason: 'paused', opensInMs: backoffUntilMs - nowMs };
    if (ratePerS === undefined) return undefined;
    const opensInMs = this.client.opensInMs(upstream.id, nowMs, requestId);
    return opensInMs > 0 ? { reason: 'limited', opensInMs } : undefined;
  }

  maySend(upstream: Upstream, enteredAtMs: Ms, nowMs: Ms): boolean {
    const { backoffUntilMs, ratePerS } = this.standings.of(upstream);
    if (backoffUntilMs > nowMs) return false;
    if (ratePerS === undefined) return true;
    // A slot is valid only briefly, and not after the limit has been lowered.
    const isOfThisLimit = enteredAtMs >= this.standings.limitedAtMs(upstream.id);
    return isOfThisLimit && nowMs - enteredAtMs <= rateRules.validMs;
  }

  wanted(upstreams: readonly Upstream[], ask: SlotWaiter, nowMs: Ms): void {
    const limited = upstreams.filter((upstream) => {
      const { ratePerS, backoffUntilMs } = this.standings.of(upstream);
      return ratePerS !== undefined && backoffUntilMs <= nowMs;
    });
    this.client.request(
      limited.map(({ id }) => id),
      ask,
      nowMs,
    );
  }

  useSlot(upstream: Upstream, nowMs: Ms, requestId: string): void {
    if (this.standings.of(upstream).ratePerS === undefined) return;
    this.client.take(upstream.id, nowMs, requestId);
  }

  /**
   * Returns the limit that planning should use. A limit that has not been confirmed for long may have ended and is
   * ignored.
   */
  limitOf(upstream: Upstream): number | undefined {
    const { ratePerS, rateAtMs } = this.standings.of(upstream);
    return this.options.clock.nowMs() - rateAtMs > rateRules.believedMs ? undefined : ratePerS;
  }

  limitedCount(): number {
    return this.standings.limitedCount();
  }

  // Exchange between entries.

  report(): readonly ReportedStateUpdate[] {
    return this.standings.report();
  }

  /** Applies updates from another entry. */
  take(entry: string, news: readonly ReportedStateUpdate[]): void {
    for (const update of news) {
      const [before, after] = this.standings.take(update);
      this.changed(update.upstream, before, after);
      if (after.ratePerS !== undefined) this.book.addUpdate(entry, update, after.ratePerS);
    }
  }

  /** Answers another entry's request for a slot, or this entry's own. */
  async answer(request: SlotRequest): Promise<SlotAnswer> {
    const { entry, news } = request;
    this.take(entry, [news]);
    const { ratePerS } = this.standings.ofIncarnation(news.upstream, news.startedAtMs);
    if (ratePerS === undefined) return { type: 'unlimited' };
    return this.book.draw(request, ratePerS);
  }

  /** Starts anew as the holder, which grants slots. */
  takeOver(): void {
    this.book.takeOver();
  }

  private async draw(
    upstream: UpstreamId,
    { rank, waitMs }: SlotWaiter,
  ): Promise<SlotAnswer | undefined> {
    const news = this.standings.updateOf(upstream);
    const { entry, metrics } = this.options;
    if (!news) return undefined;
    const answer = await this.options.draw({ entry, news, rank, waitMs });
    metrics.count('direct.slot', 1, { answer: answer?.type ?? 'none' });
    return answer;
  }

  private changed(upstream: UpstreamId, before: ReportedState, after: ReportedState): void {
    this.limitChanged(upstream, before.ratePerS, after.ratePerS);
    if (after.isLeaving && !before.isLeaving) this.options.upstreamLeaving(upstream);
  }

  private limitChanged(
    upstream: UpstreamId,
    before: number | undefined,
    after: number | undefined,
  ): void {
    const isLower = after !== undefined && after < (before ?? Infinity) * LOWER_SHARE;
    const isOver = before !== undefined && after === undefined;
    if (!isLower && !isOver) return;
    // Slots granted at the previous rate are too many for a lower one.
    this.client.forget(upstream);
    this.book.forget(upstream);
    if (isLower) this.standings.noteSent(upstream, this.options.recentSends(upstream));
  }
}
