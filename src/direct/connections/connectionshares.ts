import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { baseConnections, connectionRules as rules } from '../../core/connectionshare/index.js';
import type { UpstreamLink } from '../../port/index.js';
import type { Fleet, UpstreamState } from '../route/index.js';
import type { ConnectionLoan } from './connectionloan.js';
import type { ConnectionNeed } from './connectionneed.js';

/** Options of an entry's connection shares. */
interface ConnectionSharesOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly link: UpstreamLink;
  /** Returns how many connections an upstream accepts from all entries; undefined if it is not known. */
  readonly maxOf: (upstream: UpstreamId) => number | undefined;
  /** Number of parts into which the even part of the connections is divided. */
  readonly parts: () => number;
  /** Called when requests lack connections, so that they are reported before the next report is due. */
  readonly reportSoon: () => void;
}

/** Least interval between two reports for want of connections. */
const MIN_REPORT_MS = 100;

/** The connections to upstreams that this entry may open: an even part, and what it has borrowed. */
export class ConnectionShares {
  private loans: ReadonlyMap<UpstreamId, number> = new Map();

  private loansUntilMs: Ms = -Infinity;

  private reportedAtMs: Ms = -Infinity;

  /** Requests since the last report that found all connections to an upstream in use. */
  private readonly shortages = new Map<UpstreamId, number>();

  constructor(private readonly options: ConnectionSharesOptions) {}

  /** Returns how many connections to an upstream may be open now. */
  limitOf(upstream: UpstreamId): number {
    const isValid = this.options.clock.nowMs() < this.loansUntilMs;
    return this.baseOf(upstream) + (isValid ? (this.loans.get(upstream) ?? 0) : 0);
  }

  /** Returns how many connections this entry may open beyond its bases, over all upstreams. */
  get borrowedCount(): number {
    if (this.options.clock.nowMs() >= this.loansUntilMs) return 0;
    return [...this.loans.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Records a request that found all connections to an upstream in use. */
  lacked(upstream: UpstreamId): void {
    this.shortages.set(upstream, (this.shortages.get(upstream) ?? 0) + 1);
    const { clock, reportSoon } = this.options;
    if (clock.nowMs() - this.reportedAtMs >= MIN_REPORT_MS) reportSoon();
  }

  /** Returns what this entry needs, and closes idle connections that it may not keep. */
  report(): readonly ConnectionNeed[] {
    const { fleet, clock } = this.options;
    this.reportedAtMs = clock.nowMs();
    const needs: ConnectionNeed[] = [];
    for (const state of fleet.all()) {
      const need = this.needAt(state);
      if (need.openCount > 0 || need.neededCount > 0) needs.push(need);
    }
    this.shortages.clear();
    return needs;
  }

  /** Applies the holder's answer to the report that was sent at `sentAtMs`. */
  answered(loans: readonly ConnectionLoan[], sentAtMs: Ms): void {
    const untilMs = sentAtMs + rules.loanMs;
    // The answer to a later report has arrived before.
    if (untilMs < this.loansUntilMs) return;
    this.loans = new Map(loans.map(({ upstream, count }) => [upstream, count]));
    this.loansUntilMs = untilMs;
  }

  private needAt({ info: { id, address }, inFlight }: UpstreamState): ConnectionNeed {
    const base = this.baseOf(id);
    const openCount = Math.max(
      0,
      this.options.link.limitConnections(address, this.limitOf(id)) - base,
    );
    const usedCount = inFlight + (this.shortages.get(id) ?? 0);
    const neededCount = Math.max(0, Math.ceil(usedCount * rules.headroom) - base);
    return { upstream: id, openCount, neededCount };
  }

  private baseOf(upstream: UpstreamId): number {
    return baseConnections(this.options.maxOf(upstream) ?? 0, this.options.parts());
  }
}
