import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { freshStanding, onSelfReport, type Standing } from '../../core/selfreport/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Log, SelfReport } from '../../port/index.js';
import { tellStanding } from './tellstanding.js';

/** One start of an upstream, and what it has said. */
interface Start {
  readonly startedAtMs: Ms | undefined;
  standing: Standing;
}

/** Beyond so many starts those that said something of note longest ago are forgotten. */
const MOST_KEPT = 4096;

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
    const start = this.starts.get(id);
    return start && start.startedAtMs === startedAtMs ? start.standing : freshStanding;
  }

  /** An answer to a request of this entry's has come. */
  hear(upstream: Upstream, report: SelfReport): void {
    const { id } = upstream;
    const nowMs = this.clock.nowMs();
    const { unreadable } = report;
    if (unreadable.length > 0)
      {this.log.warn('self report not readable', { upstream: id, unreadable });}
    const before = this.of(upstream);
    const after = onSelfReport(before, report, nowMs);
    if (after === before) return;
    this.keep(upstream, after);
    tellStanding(this.log, { upstream: id, before, after, source: 'answer', nowMs });
  }

  private keep({ id, startedAtMs }: Upstream, standing: Standing): void {
    this.starts.delete(id);
    this.starts.set(id, { startedAtMs, standing });
    if (this.starts.size <= MOST_KEPT) return;
    const [oldest] = this.starts.keys();
    this.starts.delete(oldest!);
  }
}
