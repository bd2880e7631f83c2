import type { Clock, HostId, Ms, UpstreamId } from '../base/index.js';
import type { Log } from '../port/index.js';
import type { EntryCount } from './entrycount.js';
import type {
  DemandAnswer,
  DemandMeter,
  DemandReport,
  NewsBatch,
  NewsMark,
  OrderDesk,
  Peers,
  TurnKeeper,
} from './orders/index.js';
import type { PoisonDesk } from './poison/index.js';
import type { QuotaBook, QuotaDesk } from './quota/index.js';
import type { Fleet } from './route/index.js';
import type { UpstreamGate } from './selfreport/index.js';

/** What a reporter stands on. */
interface ReporterOptions {
  readonly host: HostId;
  readonly clock: Clock;
  readonly log: Log;
  readonly fleet: Fleet;
  readonly meter: DemandMeter;
  readonly entries: EntryCount;
  readonly turn: TurnKeeper;
  readonly desk: OrderDesk;
  readonly poison: PoisonDesk;
  readonly quota: QuotaDesk;
  readonly quotaBook: QuotaBook;
  readonly gate: UpstreamGate;
  readonly peers: () => Peers;
  /** Whether customers are configured. */
  readonly hasCustomers: () => boolean;
}

/** How soon others hear of an upstream that ended: its dozen broken runs are noticed within 5 ms. */
const TELL_SOON_MS = 20;

/** What this entry tells the holder of orders and hears from it; as the holder, what it answers others. */
export class Reporter {
  /** Addresses of other entries, the one that was heard from last at the end. */
  private readonly others = new Map<string, string>();

  private heardNews: NewsMark | undefined;

  /** Upstreams that this entry found lost when it last told of them. */
  private lost: readonly UpstreamId[] = [];

  private isTellingSoon = false;

  private isClosed = false;

  constructor(private readonly options: ReporterOptions) {}

  close(): void {
    this.isClosed = true;
  }

  /** Another entry that has told this one something, if there is one: the last. */
  lastOther(): string | undefined {
    return [...this.others.values()].at(-1);
  }

  /** To be called several times a second. */
  report(): void {
    const { clock, meter, poison, quota, gate, turn, hasCustomers } = this.options;
    this.noteLost(this.options.fleet.lost(clock.nowMs()));
    const report = {
      ...meter.report(this.lost, this.heardNews),
      poison: poison.link.report(),
      quota: hasCustomers() ? quota.report() : undefined,
      standings: gate.report(),
    };
    const address = turn.holderAddress();
    if (turn.isHolder()) this.tellSelf(report);
    else if (address !== undefined) void this.tell(address, report);
  }

  /** Tells the holder of orders at once, together with what else comes in the same moment. */
  reportSoon(): void {
    if (this.isTellingSoon) return;
    this.isTellingSoon = true;
    this.options.clock.after(TELL_SOON_MS, () => {
      this.isTellingSoon = false;
      if (!this.isClosed) this.report();
    });
  }

  /** Answers another entry's report. */
  hear(report: DemandReport): DemandAnswer {
    const { clock, entries, desk, poison, quotaBook, gate } = this.options;
    const nowMs = clock.nowMs();
    this.others.delete(report.entry);
    this.others.set(report.entry, report.address);
    entries.heard(report.entry, nowMs);
    desk.demand(report);
    if (report.standings) gate.take(report.entry, report.standings);
    return {
      entryCount: entries.count(nowMs),
      news: desk.news(report.heard),
      poison: report.poison && poison.link.answer(report.poison),
      quota: report.quota && quotaBook.report(report.entry as HostId, report.quota),
      standings: gate.report(),
    };
  }

  private tellSelf(report: DemandReport): void {
    const { host, clock, desk, quota, quotaBook } = this.options;
    const sentAtMs: Ms = clock.nowMs();
    desk.demand(report);
    this.learn(desk.news(this.heardNews));
    const said = report.quota && quotaBook.report(host, report.quota);
    if (said) quota.answered(said, sentAtMs);
  }

  private async tell(address: string, report: DemandReport): Promise<void> {
    const { clock, entries, quota, poison, gate, peers } = this.options;
    const sentAtMs = clock.nowMs();
    const answer = await peers().demand(address, report);
    if (!answer) return;
    if (answer.quota) quota.answered(answer.quota, sentAtMs);
    entries.toldOf(answer.entryCount);
    this.learn(answer.news);
    if (answer.standings) gate.take(address, answer.standings);
    if (report.poison && answer.poison) poison.link.answered(report.poison, answer.poison);
  }

  /** Takes over what orders have changed, before the list tells of it. */
  private learn({ epoch, index, changes }: NewsBatch): void {
    const { fleet, clock } = this.options;
    this.heardNews = { epoch, index };
    const nowMs = clock.nowMs();
    for (const { upstream, model, adapter, isThere } of changes) {
      const state = fleet.get(upstream);
      if (!state) continue;
      const need = { service: state.info.service, model, adapter };
      fleet.hint(state, need, isThere, nowMs);
    }
  }

  private noteLost(lost: readonly UpstreamId[]): void {
    if (lost.join() !== this.lost.join()) {
      this.options.log.info('upstreams taken for lost', { upstreams: lost, before: this.lost });
    }
    this.lost = lost;
  }
}
