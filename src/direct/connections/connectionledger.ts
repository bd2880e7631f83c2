import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import {
  baseConnections,
  connectionRules as rules,
  renewLoan,
  reservedConnections,
  type Loan,
} from '../../core/connectionshare/index.js';
import type { ConnectionLoan } from './connectionloan.js';
import type { ConnectionNeed } from './connectionneed.js';

/** Options of a connection ledger. */
interface ConnectionLedgerOptions {
  readonly clock: Clock;
  /** Returns how many connections an upstream accepts from all entries; undefined if it is not known. */
  readonly maxOf: (upstream: UpstreamId) => number | undefined;
  /** Number of parts into which the even part of the connections is divided. */
  readonly parts: () => number;
  /** Number of entries, as the lease record has it at least. */
  readonly entryCount: () => number;
  readonly mayGrant: () => boolean;
}

/** The order lease holder's record of the connections that entries have borrowed. */
export class ConnectionLedger {
  private readonly loans = new Map<UpstreamId, Map<string, Loan>>();

  private readonly reportedAtMs = new Map<string, Ms>();

  private takenAtMs: Ms = 0;

  private isFirst = true;

  constructor(private readonly options: ConnectionLedgerOptions) {}

  /** Starts anew as the holder; `isFirst` if there was none before. */
  takeOver(isFirst: boolean): void {
    this.loans.clear();
    this.reportedAtMs.clear();
    this.takenAtMs = this.options.clock.nowMs();
    this.isFirst = isFirst;
  }

  /** Answers an entry's report of its needs with loans, which replace its earlier ones. */
  answer(entry: string, needs: readonly ConnectionNeed[]): readonly ConnectionLoan[] {
    const nowMs = this.options.clock.nowMs();
    this.reportedAtMs.set(entry, nowMs);
    this.forget(nowMs);
    const isOpen = this.options.mayGrant() && this.knowsAllLoans(nowMs);
    const granted = needs.map((need) => this.lend(entry, need, isOpen, nowMs));
    const named = new Set(needs.map(({ upstream }) => upstream));
    for (const [upstream, byEntry] of this.loans) {
      const loan = byEntry.get(entry);
      if (!loan || named.has(upstream)) continue;
      byEntry.set(entry, renewLoan(loan, 0, 0, nowMs));
    }
    return granted.filter(({ count }) => count > 0);
  }

  /** Returns how many connections to an upstream are lent, or kept because they may be in use. */
  lentCount(upstream: UpstreamId): number {
    return this.reservedFor(upstream, undefined);
  }

  /** False while entries may use loans of a previous holder that they have not reported to this one. */
  private knowsAllLoans(nowMs: Ms): boolean {
    const sinceMs = nowMs - this.takenAtMs;
    if (this.isFirst || sinceMs >= rules.keepMs) return true;
    return sinceMs >= rules.loanMs && this.reportedAtMs.size >= this.options.entryCount();
  }

  private lend(
    entry: string,
    { upstream, openCount, neededCount }: ConnectionNeed,
    isOpen: boolean,
    nowMs: Ms,
  ): ConnectionLoan {
    const { maxOf, parts } = this.options;
    const max = maxOf(upstream) ?? 0;
    const base = baseConnections(max, parts());
    const leftCount = max - base * parts() - this.reservedFor(upstream, entry);
    const count = isOpen ? Math.max(0, Math.min(neededCount, Math.floor(leftCount))) : 0;
    const byEntry = this.loans.get(upstream) ?? new Map<string, Loan>();
    this.loans.set(upstream, byEntry);
    byEntry.set(entry, renewLoan(byEntry.get(entry), count, openCount, nowMs));
    return { upstream, count };
  }

  private reservedFor(upstream: UpstreamId, except: string | undefined): number {
    let sum = 0;
    for (const [entry, loan] of this.loans.get(upstream) ?? []) {
      if (entry === except) continue;
      sum += reservedConnections(loan);
    }
    return sum;
  }

  private forget(nowMs: Ms): void {
    for (const [entry, atMs] of this.reportedAtMs) {
      if (nowMs - atMs < rules.keepMs) continue;
      this.reportedAtMs.delete(entry);
      for (const byEntry of this.loans.values()) byEntry.delete(entry);
    }
    for (const upstream of this.loans.keys()) {
      if (this.options.maxOf(upstream) === undefined) this.loans.delete(upstream);
    }
  }
}
