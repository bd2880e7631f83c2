import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { freshStanding, onSelfReport, type Standing } from '../../core/selfreport/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Log, SelfReport } from '../../port/index.js';
import type { StandingNews } from './standingnews.js';
import { tellStanding } from './tellstanding.js';

/** One start of an upstream, and what it has said. */
interface Start {
  readonly startedAtMs: Ms | undefined;
  readonly standing: Standing;
  /** Requests that this entry had sent there in the window before it heard of a limit. */
  readonly sentBefore: number;
  /** When that was. */
  readonly limitedAtMs: Ms;
  /** When this entry first heard that it leaves. */
  readonly leavesAtMs: Ms;
}

/** Beyond so many starts those that said something of note longest ago are forgotten. */
const MOST_KEPT = 4096;
/** Other entries are told of a limit for this long after the last answer that named it: its upstream may be gone. */
const TELL_LIMIT_MS = 600_000;
/** Other entries are told that a limit is over for this long; older news of it that is under way has come by then. */
const TELL_OVER_MS = 30_000;
/** Other entries are told that an upstream leaves for this long: it has gone by then, or the list says so too. */
const TELL_LEAVING_MS = 180_000;

function isOlder(startedAtMs: Ms | undefined, other: Ms | undefined): boolean {
  return startedAtMs !== undefined && other !== undefined && startedAtMs < other;
}

/**
 * What upstreams have said of themselves in answers. It is kept by their starts and apart from the list: an entry of
 * the list may be older than an answer, or lapse and come back while its upstream leaves.
 */
export class Standings {
  private readonly starts = new Map<UpstreamId, Start>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  of({ id, startedAtMs }: Upstream): Standing {
    return this.ofStart(id, startedAtMs);
  }

  ofStart(id: UpstreamId, startedAtMs: Ms | undefined): Standing {
    const start = this.starts.get(id);
    return start && start.startedAtMs === startedAtMs ? start.standing : freshStanding;
  }

  /** An answer to a request of this entry's has come. Returns what is known of its upstream now. */
  hear(upstream: Upstream, report: SelfReport): Standing {
    const { id, startedAtMs } = upstream;
    const nowMs = this.clock.nowMs();
    const { unreadable } = report;
    if (unreadable.length > 0) {
      this.log.warn('self report not readable', { upstream: id, unreadable });
    }
    const before = this.of(upstream);
    const after = onSelfReport(before, report, nowMs);
    if (after === before) return after;
    this.keep(id, startedAtMs, after);
    tellStanding(this.log, { upstream: id, before, after, source: 'answer', nowMs });
    return after;
  }

  /** Another entry has heard from an upstream. Returns what was known before, and what is now. */
  take(news: StandingNews): readonly [Standing, Standing] {
    const { upstream, startedAtMs, ratePerS, rateAgeMs } = news;
    const nowMs = this.clock.nowMs();
    const before = this.ofStart(upstream, startedAtMs);
    const rateAtMs = nowMs - (rateAgeMs ?? Infinity);
    const isNewer = rateAtMs > before.rateAtMs;
    const isFirstOfLeaving = news.isLeaving === true && !before.isLeaving;
    const isOfOldStart = isOlder(startedAtMs, this.starts.get(upstream)?.startedAtMs);
    if (isOfOldStart || !(isNewer || isFirstOfLeaving)) return [before, before];
    const isLeaving = before.isLeaving || isFirstOfLeaving;
    const after = { ...before, isLeaving, ...(isNewer && { ratePerS, rateAtMs }) };
    this.keep(upstream, startedAtMs, after);
    tellStanding(this.log, { upstream, before, after, source: 'entry', nowMs });
    return [before, after];
  }

  /** This entry has just heard of a limit. */
  noteSent(id: UpstreamId, sentBefore: number): void {
    const start = this.starts.get(id);
    if (!start) return;
    this.starts.set(id, { ...start, sentBefore, limitedAtMs: this.clock.nowMs() });
  }

  /** When this entry heard of the limit that holds now. */
  limitedAtMs(id: UpstreamId): Ms {
    return this.starts.get(id)?.limitedAtMs ?? -Infinity;
  }

  /** What other entries should know. */
  report(): readonly StandingNews[] {
    const news: StandingNews[] = [];
    for (const [id, start] of this.starts) {
      if (this.isOfNote(start)) news.push(this.newsFrom(id, start));
    }
    return news;
  }

  limitedCount(): number {
    const limited = [...this.starts.values()].filter(
      ({ standing }) => standing.ratePerS !== undefined,
    );
    return limited.filter((start) => this.isOfNote(start)).length;
  }

  newsOf(id: UpstreamId): StandingNews | undefined {
    const start = this.starts.get(id);
    return start && this.newsFrom(id, start);
  }

  private isOfNote({ standing, leavesAtMs }: Start): boolean {
    const nowMs = this.clock.nowMs();
    if (nowMs - leavesAtMs < TELL_LEAVING_MS) return true;
    const tellMs = standing.ratePerS === undefined ? TELL_OVER_MS : TELL_LIMIT_MS;
    return nowMs - standing.rateAtMs < tellMs;
  }

  private newsFrom(upstream: UpstreamId, start: Start): StandingNews {
    const { startedAtMs, standing, limitedAtMs } = start;
    const { ratePerS, rateAtMs } = standing;
    // What lies before the window says nothing to a holder that has just taken over.
    const isInWindow = this.clock.nowMs() - limitedAtMs < rateRules.windowMs;
    const sentBefore = isInWindow ? start.sentBefore : 0;
    const isLeaving = standing.isLeaving || undefined;
    // Nothing was said of a rate: infinity has no place in a message.
    const rateAgeMs = Number.isFinite(rateAtMs)
      ? Math.round(this.clock.nowMs() - rateAtMs)
      : undefined;
    return { upstream, startedAtMs, ratePerS, rateAgeMs, isLeaving, sentBefore };
  }

  private keep(id: UpstreamId, startedAtMs: Ms | undefined, standing: Standing): void {
    const known = this.starts.get(id);
    const before = known?.startedAtMs === startedAtMs ? known : undefined;
    const { sentBefore = 0, limitedAtMs = -Infinity } = before ?? {};
    const sinceMs = standing.isLeaving ? this.clock.nowMs() : -Infinity;
    const leavesAtMs = before?.standing.isLeaving ? before.leavesAtMs : sinceMs;
    this.starts.delete(id);
    this.starts.set(id, { startedAtMs, standing, sentBefore, limitedAtMs, leavesAtMs });
    if (this.starts.size <= MOST_KEPT) return;
    const [oldest] = this.starts.keys();
    this.starts.delete(oldest!);
  }
}
