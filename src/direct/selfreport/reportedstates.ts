import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import {
  initialReportedState,
  applySelfReport,
  type ReportedState,
} from '../../core/selfreport/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Log, SelfReport } from '../../port/index.js';
import type { ReportedStateUpdate } from './reportedstateupdate.js';
import { logReportedState } from './logreportedstate.js';

/** One incarnation of an upstream with its reported state. */
interface Incarnation {
  readonly startedAtMs: Ms | undefined;
  readonly state: ReportedState;
  /** Requests that this entry had sent there in the window before it learned of a limit. */
  readonly sentBefore: number;
  /** When it learned of that limit. */
  readonly limitedAtMs: Ms;
  /** When this entry first learned that the upstream leaves. */
  readonly leavesAtMs: Ms;
}

/** Bound of the incarnations that are kept; the one that changed longest ago is evicted. */
const MAX_INCARNATIONS = 4096;
/** A limit is shared for this long after the last answer that named it: the upstream may be gone by then. */
const SHARE_LIMIT_MS = 600_000;
/** The end of a limit is shared for this long: older updates that still name the limit have arrived by then. */
const SHARE_LIMIT_END_MS = 30_000;
/** Leaving is shared for this long: the upstream is gone by then, or the list shows it too. */
const SHARE_LEAVING_MS = 180_000;

function isOlder(startedAtMs: Ms | undefined, other: Ms | undefined): boolean {
  return startedAtMs !== undefined && other !== undefined && startedAtMs < other;
}

/**
 * The reported states of upstreams, by incarnation. They are kept apart from the list: a list record may be older than
 * an answer, or expire and be written again while its upstream is leaving.
 */
export class ReportedStates {
  private readonly incarnations = new Map<UpstreamId, Incarnation>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  of({ id, startedAtMs }: Upstream): ReportedState {
    return this.ofIncarnation(id, startedAtMs);
  }

  ofIncarnation(id: UpstreamId, startedAtMs: Ms | undefined): ReportedState {
    const incarnation = this.incarnations.get(id);
    return incarnation && incarnation.startedAtMs === startedAtMs
      ? incarnation.state
      : initialReportedState;
  }

  /** Applies the report of an answer to this entry. Returns the upstream's state after it. */
  applyAnswer(upstream: Upstream, report: SelfReport): ReportedState {
    const { id, startedAtMs } = upstream;
    const nowMs = this.clock.nowMs();
    const { unreadable } = report;
    if (unreadable.length > 0) {
      this.log.warn('self report not readable', { upstream: id, unreadable });
    }
    const before = this.of(upstream);
    const after = applySelfReport(before, report, nowMs);
    if (after === before) return after;
    this.put(id, startedAtMs, after);
    logReportedState(this.log, { upstream: id, before, after, source: 'answer', nowMs });
    return after;
  }

  /** Applies an update from another entry. Returns the upstream's state before and after it. */
  take(news: ReportedStateUpdate): readonly [ReportedState, ReportedState] {
    const { upstream, startedAtMs, ratePerS, rateAgeMs } = news;
    const nowMs = this.clock.nowMs();
    const before = this.ofIncarnation(upstream, startedAtMs);
    const rateAtMs = nowMs - (rateAgeMs ?? Infinity);
    const isNewer = rateAtMs > before.rateAtMs;
    const isNewlyLeaving = news.isLeaving === true && !before.isLeaving;
    const isOutdated = isOlder(startedAtMs, this.incarnations.get(upstream)?.startedAtMs);
    if (isOutdated || !(isNewer || isNewlyLeaving)) return [before, before];
    const isLeaving = before.isLeaving || isNewlyLeaving;
    const after = { ...before, isLeaving, ...(isNewer && { ratePerS, rateAtMs }) };
    this.put(upstream, startedAtMs, after);
    logReportedState(this.log, { upstream, before, after, source: 'entry', nowMs });
    return [before, after];
  }

  /** Records how many requests this entry had sent when it learned of a limit. */
  noteSent(id: UpstreamId, sentBefore: number): void {
    const incarnation = this.incarnations.get(id);
    if (!incarnation) return;
    this.incarnations.set(id, { ...incarnation, sentBefore, limitedAtMs: this.clock.nowMs() });
  }

  /** Returns when this entry learned of the current limit. */
  limitedAtMs(id: UpstreamId): Ms {
    return this.incarnations.get(id)?.limitedAtMs ?? -Infinity;
  }

  /** Returns the updates for other entries. */
  report(): readonly ReportedStateUpdate[] {
    const news: ReportedStateUpdate[] = [];
    for (const [id, incarnation] of this.incarnations) {
      if (this.isToBeShared(incarnation)) news.push(this.updateFrom(id, incarnation));
    }
    return news;
  }

  limitedCount(): number {
    const limited = [...this.incarnations.values()].filter(
      ({ state }) => state.ratePerS !== undefined,
    );
    return limited.filter((incarnation) => this.isToBeShared(incarnation)).length;
  }

  updateOf(id: UpstreamId): ReportedStateUpdate | undefined {
    const incarnation = this.incarnations.get(id);
    return incarnation && this.updateFrom(id, incarnation);
  }

  private isToBeShared({ state, leavesAtMs }: Incarnation): boolean {
    const nowMs = this.clock.nowMs();
    if (nowMs - leavesAtMs < SHARE_LEAVING_MS) return true;
    const shareMs = state.ratePerS === undefined ? SHARE_LIMIT_END_MS : SHARE_LIMIT_MS;
    return nowMs - state.rateAtMs < shareMs;
  }

  private updateFrom(upstream: UpstreamId, incarnation: Incarnation): ReportedStateUpdate {
    const { startedAtMs, state, limitedAtMs } = incarnation;
    const { ratePerS, rateAtMs } = state;
    // A holder that has just taken over needs only the requests within the window.
    const isInWindow = this.clock.nowMs() - limitedAtMs < rateRules.windowMs;
    const sentBefore = isInWindow ? incarnation.sentBefore : 0;
    const isLeaving = state.isLeaving || undefined;
    // Without a reported rate the time is -Infinity, which JSON cannot represent.
    const rateAgeMs = Number.isFinite(rateAtMs)
      ? Math.round(this.clock.nowMs() - rateAtMs)
      : undefined;
    return { upstream, startedAtMs, ratePerS, rateAgeMs, isLeaving, sentBefore };
  }

  private put(id: UpstreamId, startedAtMs: Ms | undefined, state: ReportedState): void {
    const known = this.incarnations.get(id);
    const before = known?.startedAtMs === startedAtMs ? known : undefined;
    const { sentBefore = 0, limitedAtMs = -Infinity } = before ?? {};
    const leavingSinceMs = state.isLeaving ? this.clock.nowMs() : -Infinity;
    const leavesAtMs = before?.state.isLeaving ? before.leavesAtMs : leavingSinceMs;
    this.incarnations.delete(id);
    this.incarnations.set(id, { startedAtMs, state, sentBefore, limitedAtMs, leavesAtMs });
    if (this.incarnations.size <= MAX_INCARNATIONS) return;
    const [oldest] = this.incarnations.keys();
    this.incarnations.delete(oldest!);
  }
}
