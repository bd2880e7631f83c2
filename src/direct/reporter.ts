import type { Clock, HostId, Ms, UpstreamId } from '../base/index.js';
import type { Log } from '../port/index.js';
import type { EntryCount } from './entrycount.js';
import type { Members } from './members.js';
import type {
  DemandAnswer,
  DemandMeter,
  DemandReport,
  ResidencyUpdate,
  ResidencyCursor,
  OrderDispatcher,
  Peers,
  OrderLeaseKeeper,
} from './orders/index.js';
import type { PoisonGuard } from './poison/index.js';
import type { QuotaLedger, QuotaClient } from './quota/index.js';
import type { Fleet } from './route/index.js';
import type { UpstreamGate } from './selfreport/index.js';
import type { Follower } from './sync/index.js';

/** Options of a reporter. */
interface ReporterOptions {
  readonly host: HostId;
  readonly clock: Clock;
  readonly log: Log;
  readonly fleet: Fleet;
  readonly meter: DemandMeter;
  readonly entries: EntryCount;
  readonly availabilityZone: string;
  readonly members: Members;
  readonly lease: OrderLeaseKeeper;
  readonly dispatcher: OrderDispatcher;
  readonly poison: PoisonGuard;
  readonly quota: QuotaClient;
  readonly quotaLedger: QuotaLedger;
  readonly gate: UpstreamGate;
  readonly follower: Follower;
  readonly peers: () => Peers;
  /** True if customers are configured. */
  readonly hasCustomers: () => boolean;
}

/** Delay of an extra report after an upstream ended; its dozen broken requests are all noticed within 5 ms. */
const REPORT_SOON_MS = 20;

/** Sends this entry's reports to the order lease holder and applies the answers; as the holder, answers reports. */
export class Reporter {
  /** Addresses of other entries, the one that reported last at the end. */
  private readonly others = new Map<string, string>();

  private residencyCursor: ResidencyCursor | undefined;

  /** Lost upstreams as last reported. */
  private lost: readonly UpstreamId[] = [];

  private isReportDue = false;

  private isClosed = false;

  constructor(private readonly options: ReporterOptions) {}

  close(): void {
    this.isClosed = true;
  }

  /** Returns the address of the entry that reported to this one last, if any. */
  lastPeer(): string | undefined {
    return [...this.others.values()].at(-1);
  }

  /** Sends a report. Called several times a second. */
  report(): void {
    const { clock, meter, poison, quota, gate, follower, lease, hasCustomers } = this.options;
    const { availabilityZone, members } = this.options;
    this.updateLost(this.options.fleet.lost(clock.nowMs()));
    const report = {
      ...meter.report(this.lost, this.residencyCursor),
      availabilityZone,
      membersDigest: members.knownDigest,
      poison: poison.sync.report(),
      quota: hasCustomers() ? quota.report() : undefined,
      standings: gate.report(),
      storeReachedMs: Math.round(follower.reachedMs()),
    };
    const address = lease.holderAddress();
    if (lease.isHolder()) this.reportToSelf(report);
    else if (address !== undefined) void this.sendReport(address, report);
  }

  /** Sends an extra report after a short delay, which also covers what happens until then. */
  reportSoon(): void {
    if (this.isReportDue) return;
    this.isReportDue = true;
    this.options.clock.after(REPORT_SOON_MS, () => {
      this.isReportDue = false;
      if (!this.isClosed) this.report();
    });
  }

  /** Answers another entry's report. */
  answer(report: DemandReport): DemandAnswer {
    const { clock, entries, members, dispatcher, poison, quotaLedger, gate, follower } =
      this.options;
    const nowMs = clock.nowMs();
    this.others.delete(report.entry);
    this.others.set(report.entry, report.address);
    entries.heard(report.entry, nowMs);
    const { entry, address, availabilityZone = '' } = report;
    members.reported({ entry, address, availabilityZone }, nowMs);
    dispatcher.demand(report);
    if (report.standings) gate.take(report.entry, report.standings);
    follower.confirm(report.storeReachedMs ?? 0);
    return {
      entryCount: entries.count(nowMs),
      members: members.listFor(report.membersDigest, nowMs),
      storeReachedMs: Math.round(follower.reachedMs()),
      news: dispatcher.news(report.heard),
      poison: report.poison && poison.sync.answer(report.poison),
      quota: report.quota && quotaLedger.report(report.entry as HostId, report.quota),
      standings: gate.report(),
    };
  }

  private reportToSelf(report: DemandReport): void {
    const { host, clock, dispatcher, quota, quotaLedger } = this.options;
    const sentAtMs: Ms = clock.nowMs();
    dispatcher.demand(report);
    this.applyChanges(dispatcher.news(this.residencyCursor));
    const answer = report.quota && quotaLedger.report(host, report.quota);
    if (answer) quota.answered(answer, sentAtMs);
  }

  private async sendReport(address: string, report: DemandReport): Promise<void> {
    const { clock, members, quota, poison, gate, follower, peers } = this.options;
    const sentAtMs = clock.nowMs();
    const answer = await peers().demand(address, report);
    if (!answer) return;
    if (answer.quota) quota.answered(answer.quota, sentAtMs);
    if (answer.members) members.answered(answer.members, clock.nowMs());
    this.setEntryCount(answer.entryCount);
    this.applyChanges(answer.news);
    if (answer.standings) gate.take(address, answer.standings);
    follower.confirm(answer.storeReachedMs ?? 0);
    if (report.poison && answer.poison) poison.sync.answered(report.poison, answer.poison);
  }

  private setEntryCount(count: number): void {
    const { entries, log } = this.options;
    if (count !== entries.reported) log.info('entries known', { count, before: entries.reported });
    entries.setReportedCount(count);
  }

  /** Applies residency changes by orders before the list shows them. */
  private applyChanges({ epoch, index, changes }: ResidencyUpdate): void {
    const { fleet, clock } = this.options;
    this.residencyCursor = { epoch, index };
    const nowMs = clock.nowMs();
    for (const { upstream, model, adapter, isThere } of changes) {
      const state = fleet.get(upstream);
      if (!state) continue;
      const target = { service: state.info.service, model, adapter };
      fleet.hint(state, target, isThere, nowMs);
    }
  }

  private updateLost(lost: readonly UpstreamId[]): void {
    if (lost.join() !== this.lost.join()) {
      this.options.log.info('upstreams taken for lost', { upstreams: lost, before: this.lost });
    }
    this.lost = lost;
  }
}
