import type { Clock, HostId, Ms, UpstreamId } from '../base/index.js';
import {
  changedPaces,
  LoadTable,
  loadOfOthers,
  type UpstreamPace,
} from '../core/sharedload/index.js';
import type { Log } from '../port/index.js';
import type { ConnectionLedger, ConnectionShares } from './connections/index.js';
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
import type { PoisonGuard, PoisonReport, SuspectBatch } from './poison/index.js';
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
  readonly connections: ConnectionShares;
  readonly connectionLedger: ConnectionLedger;
  readonly peers: () => Peers;
  /** Called when other entries' loads have become known. */
  readonly loadsChanged: () => void;
  /** True if customers are configured. */
  readonly hasCustomers: () => boolean;
  /** Number of entries that may exist, as known to this holder or the previous one. */
  readonly knownCount: () => number;
}

/** What entries tell each other of loads; absent without a load-aware service. */
type LoadFields = Pick<DemandReport, 'loads' | 'paces'>;

/**
 * Least interval of quota reports while a service is load-aware: every second report has one. The holder grants a
 * multiple of the demand between two of them, and takes an entry without one for 350 ms for isolated.
 */
const QUOTA_REPORT_MS = 180;

/** Interval after which all paces are reported again, because a holder that has restarted has lost them. */
const PACES_MS = 5000;

/** Delay of an extra report after an upstream ended; its dozen broken requests are all noticed within 5 ms. */
const REPORT_SOON_MS = 20;

/** Sends this entry's reports to the order lease holder and applies the answers; as the holder, answers reports. */
export class Reporter {
  /** Addresses of other entries, the one that reported last at the end. */
  private readonly others = new Map<string, string>();

  private residencyCursor: ResidencyCursor | undefined;

  /** Lost upstreams as last reported. */
  private lost: readonly UpstreamId[] = [];

  private readonly loadTable = new LoadTable();

  /** Paces in percent that the holder at `toldAddress` has been told. */
  private readonly toldPaces = new Map<UpstreamId, number>();

  private toldAddress: string | undefined;

  private toldSinceMs: Ms = -Infinity;

  private quotaReportedAtMs: Ms = -Infinity;

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
    const { clock, meter, poison, gate, follower, lease } = this.options;
    const { availabilityZone, members } = this.options;
    this.updateLost(this.options.fleet.lost(clock.nowMs()));
    const address = lease.holderAddress();
    this.forgetTold(address);
    const isSent = !lease.isHolder() && address !== undefined;
    const report = {
      ...meter.report(this.lost, this.residencyCursor),
      availabilityZone,
      membersDigest: members.knownDigest,
      poison: isSent ? poison.sync.report() : undefined,
      quota: this.quotaReport(),
      standings: gate.report(),
      connections: this.options.connections.report(),
      storeReachedMs: Math.round(follower.reachedMs()),
      ...this.ownLoadFields(),
    };
    if (isSent) void this.sendReport(address, report);
    else if (lease.isHolder()) this.reportToSelf(report);
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
    this.takeLoads(report);
    return {
      entryCount: entries.count(nowMs),
      members: members.listFor(report.membersDigest, nowMs),
      storeReachedMs: Math.round(follower.reachedMs()),
      news: dispatcher.news(report.heard),
      poison: report.poison && poison.sync.answer(report.poison),
      quota: report.quota && quotaLedger.report(report.entry as HostId, report.quota),
      standings: gate.report(),
      connections: this.lend(report),
      ...this.sharedLoadFields(),
    };
  }

  private lend({ entry, connections }: DemandReport): DemandAnswer['connections'] {
    return connections && this.options.connectionLedger.answer(entry, connections);
  }

  private quotaReport(): DemandReport['quota'] {
    const { clock, fleet, quota, hasCustomers } = this.options;
    if (!hasCustomers()) return undefined;
    const nowMs = clock.nowMs();
    const isEarly = nowMs - this.quotaReportedAtMs < QUOTA_REPORT_MS;
    if (isEarly && fleet.hasLoadAware()) return undefined;
    this.quotaReportedAtMs = nowMs;
    return quota.report();
  }

  private ownLoadFields(): LoadFields {
    const { fleet } = this.options;
    if (!fleet.hasLoadAware()) return {};
    return { loads: fleet.ownLoads(), paces: changedPaces(fleet.ownPaces(), this.toldPaces) };
  }

  private takeLoads({ entry, loads, paces }: DemandReport): void {
    if (loads) this.loadTable.report(entry, loads, this.options.clock.nowMs());
    if (paces) this.loadTable.reportPaces(paces);
  }

  /** Returns what all entries have reported; nothing while another entry may be the holder. */
  private sharedLoadFields(): LoadFields {
    const { fleet, lease, clock, knownCount } = this.options;
    if (!lease.isHolder() || !fleet.hasLoadAware()) return {};
    const loads = this.loadTable.loads(knownCount(), clock.nowMs());
    return { loads, paces: this.loadTable.paces() };
  }

  /** Applies the holder's answer to the report sent at `sentAtMs`. */
  private applyLoads(report: DemandReport, answer: LoadFields, sentAtMs: Ms): void {
    const { fleet, clock } = this.options;
    if (report.loads && answer.loads) {
      fleet.recordSharedLoads(loadOfOthers(answer.loads, report.loads), sentAtMs);
      this.options.loadsChanged();
    }
    if (!answer.paces) return;
    fleet.recordSharedPaces(answer.paces, clock.nowMs());
    this.recordTold(report.paces ?? []);
  }

  /** Forgets what the holder was told if it is another one or may have restarted. */
  private forgetTold(holderAddress: string | undefined): void {
    const nowMs = this.options.clock.nowMs();
    if (holderAddress === this.toldAddress && nowMs - this.toldSinceMs < PACES_MS) return;
    this.toldPaces.clear();
    this.toldAddress = holderAddress;
    this.toldSinceMs = nowMs;
  }

  private recordTold(paces: readonly UpstreamPace[]): void {
    for (const { upstream, percent } of paces) this.toldPaces.set(upstream, percent);
  }

  private reportToSelf(report: DemandReport): void {
    const { host, clock, fleet, dispatcher, quota, quotaLedger } = this.options;
    const sentAtMs: Ms = clock.nowMs();
    dispatcher.demand(report);
    this.loadTable.keepPaces((upstream) => fleet.get(upstream) !== undefined);
    this.takeLoads(report);
    this.applyLoads(report, this.sharedLoadFields(), sentAtMs);
    this.applyChanges(dispatcher.news(this.residencyCursor));
    const answer = report.quota && quotaLedger.report(host, report.quota);
    if (answer) quota.answered(answer, sentAtMs);
    const loans = this.lend(report);
    if (loans) this.options.connections.answered(loans, sentAtMs);
  }

  private async sendReport(address: string, report: DemandReport): Promise<void> {
    const { clock, members, quota, gate, follower, peers } = this.options;
    const sentAtMs = clock.nowMs();
    const answer = await peers().demand(address, report);
    if (report.poison) this.exchangedSuspects(report.poison, answer?.poison);
    if (!answer) return;
    if (answer.quota) quota.answered(answer.quota, sentAtMs);
    if (answer.connections) this.options.connections.answered(answer.connections, sentAtMs);
    if (address === this.toldAddress) this.applyLoads(report, answer, sentAtMs);
    if (answer.members) members.answered(answer.members, clock.nowMs());
    this.setEntryCount(answer.entryCount);
    this.applyChanges(answer.news);
    if (answer.standings) gate.take(address, answer.standings);
    follower.confirm(answer.storeReachedMs ?? 0);
  }

  private exchangedSuspects(report: PoisonReport, reply: SuspectBatch | undefined): void {
    const { sync } = this.options.poison;
    if (!reply) {
      sync.unanswered();
      return;
    }
    sync.answered(report, reply);
    if (sync.hasMore) this.reportSoon();
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
