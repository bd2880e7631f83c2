import {
  result,
  type Clock,
  type ModelId,
  type Ms,
  type RequestId,
  type ServiceId,
  type UpstreamId,
} from '../base/index.js';
import { takeoverDelay } from '../core/orderlease/index.js';
import type { CustomerSpec } from '../core/access/index.js';
import { OriginHistory } from '../core/origin/index.js';
import { fitsStop } from '../core/plannedstop/index.js';
import { quotaParts } from '../core/quota/index.js';
import type { RetryBudget } from '../core/retrybudget/index.js';
import { sharedLoadRules } from '../core/sharedload/index.js';
import { rateRules } from '../core/sharedrate/index.js';
import {
  decideAccess,
  type AccessDecision,
  type Route,
  type RouteTable,
} from '../core/routetable/index.js';
import type { Upstream } from '../core/upstreams/index.js';
import type { ChangeFeed, KeyValue, Log, Metrics, Swap, UpstreamLink } from '../port/index.js';
import { AnswerTimeTable } from './answertimetable.js';
import type { Caller } from './caller.js';
import type { DirectSettings } from './directsettings.js';
import { ConnectionLedger, ConnectionShares } from './connections/index.js';
import { EntryCount } from './entrycount.js';
import { Members } from './members.js';
import { Origins, OriginStore, VersionKeeper, type OriginCopy } from './origin/index.js';
import { Intake, type Admitted } from './intake/index.js';
import {
  DemandMeter,
  OrderDispatcher,
  Peers,
  OrderLeaseKeeper,
  type DemandReport,
  type FindAnswer,
} from './orders/index.js';
import { PoisonGuard, poisonLimits } from './poison/index.js';
import {
  customerLabel,
  QuotaLedger,
  QuotaClient,
  listCustomers,
  type DrawAnswer,
  type DrawRequest,
} from './quota/index.js';
import { Fleet, type Target } from './route/index.js';
import { Reporter } from './reporter.js';
import { RetryBudgets } from './retrybudgets.js';
import { ReturnDetector } from './returndetector.js';
import { UpstreamGate, type SlotAnswer, type SlotRequest } from './selfreport/index.js';
import { Run } from './run/index.js';
import { TargetFinder } from './targetfinder.js';
import type { Serving } from './serving.js';
import type { StateCodec } from './statecodec.js';
import { Waitline } from './waitline/index.js';
import { Follower, paceTable, SharedFeed } from './sync/index.js';

/** Settings and ports of a direct entry. */
interface DirectContext {
  readonly settings: DirectSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly feed: ChangeFeed;
  readonly codec: StateCodec;
  readonly link: UpstreamLink;
}

/** Interval of planning orders and of renewing the order lease. */
const TICK_MS = 100;
/** A tick that is this late shows that the process was suspended or had no processor time. */
const STALL_MS = 300;
/** Interval of reports to the order lease holder. */
const REPORT_MS = 250;
/** How long the store has to be reachable before this entry tries to take the order lease. */
const TAKE_AFTER_MS = 700;

/** An entry that calls upstreams directly. */
export class DirectEntry implements Serving {
  readonly clock: Clock;

  readonly log: Log;

  readonly link: UpstreamLink;

  readonly fleet: Fleet;

  readonly poison: PoisonGuard;

  readonly quota: QuotaClient;

  readonly gate: UpstreamGate;

  readonly origins: Origins;

  readonly waitline: Waitline;

  table: RouteTable | undefined;

  private readonly budgets: RetryBudgets;

  private readonly follower: Follower;

  private readonly shared: SharedFeed;

  private readonly entries = new EntryCount();

  private readonly members: Members;

  private readonly originHistory = new OriginHistory();

  private readonly returnDetector = new ReturnDetector();

  private readonly runs = new Set<Run>();

  private readonly intakes = new Set<Intake>();

  private readonly quotaLedger: QuotaLedger;

  private readonly meter: DemandMeter;

  private readonly orderLease: OrderLeaseKeeper;

  private readonly dispatcher: OrderDispatcher;

  private readonly peers: Peers;

  private readonly connections: ConnectionShares;

  private readonly connectionLedger: ConnectionLedger;

  private readonly targetFinder: TargetFinder;

  private readonly orderLeaseKey: string;

  private readonly poisonPrefix: string;

  private readonly reporter: Reporter;

  private readonly originStore: OriginStore;

  private readonly versionsKey: string;

  private readonly versionKeeper: VersionKeeper;

  private hasState = false;

  private tickedAtMs: Ms = 0;

  /** The address whose answers came in most pieces before the last tick. */
  private busiest: ReturnType<UpstreamLink['busiest']>;

  private isStopping = false;

  /** In a planned stop: from when on no request is sent any more. */
  private sendsUntilMs: Ms = Infinity;

  /** In a planned stop: when requests without a complete answer are ended. */
  private endsAtMs: Ms = Infinity;

  private readonly answerTimes = new AnswerTimeTable();

  private isClosed = false;

  constructor(private readonly context: DirectContext) {
    const { clock, log, link, settings, feed, codec } = context;
    this.clock = clock;
    this.log = log;
    this.link = link;
    this.gate = this.createUpstreamGate();
    const fleet = new Fleet(settings.availabilityZone, this.gate);
    this.fleet = fleet;
    fleet.setLoadMode(settings.loadAware ?? 'auto');
    const waiting = (...args: Parameters<Serving['waiting']>) => this.waiting(...args);
    this.waitline = new Waitline({ clock, log, metrics: context.metrics, fleet, waiting });
    const { host, peerListen, orderTurnMs, loadWindowMs, loadOvershoot } = settings;
    this.budgets = new RetryBudgets({
      clock,
      ratio: settings.retryRatio,
      slack: settings.retrySlack,
      windowMs: settings.retryWindowMs,
      parts: () => this.entries.shares(clock.nowMs()),
    });
    const address = `${peerListen.host}:${peerListen.port}`;
    const { availabilityZone } = settings;
    this.members = new Members({ entry: host, address, availabilityZone });
    this.shared = new SharedFeed({
      feed,
      codec,
      clock,
      log,
      sharer: () => {
        const holder = this.orderLease.holderAddress();
        return holder === address ? undefined : holder;
      },
      ask: (to, request) => this.peers.changes(to, request),
    });
    this.follower = new Follower({
      feed: this.shared,
      codec,
      listener: this,
      clock,
      log,
      pace: () => this.pace(),
      heartbeatMs: settings.heartbeatMs,
    });
    this.meter = new DemandMeter(host, address);
    this.orderLeaseKey = `${codec.ownPrefix}order-turn`;
    this.orderLease = new OrderLeaseKeeper({
      host,
      address,
      key: this.orderLeaseKey,
      spacingMs: orderTurnMs,
      delayMs: takeoverDelay(host, settings.cores),
      feed,
      clock,
      log,
      relay: (swap) => this.relay(swap),
      entries: () => ({ count: this.knownCount(), parts: this.entryParts() }),
      table: () => this.table?.version,
      onTaken: (isFirst) => {
        this.dispatcher.leaseTaken(isFirst);
        this.quotaLedger.takeOver(isFirst);
        this.gate.takeOver();
        this.connectionLedger.takeOver(isFirst);
      },
    });
    const { quotaTerms: terms } = settings;
    const parts = () => this.entryParts();
    this.quotaLedger = new QuotaLedger({
      clock,
      terms,
      parts,
      entryCount: () => this.knownCount(),
      mayGrant: () => this.orderLease.mayAnswer(),
    });
    this.quota = new QuotaClient({ entry: host, clock, terms, parts, draw: (q) => this.draw(q) });
    const { metrics } = context;
    const shared = { link, clock, log, metrics, host, loadWindowMs, loadOvershoot };
    const listSilentMs = () => this.follower.silentMs();
    const listSteadyMs = () => this.follower.steadyMs();
    const loadOf = (id: UpstreamId) => this.fleet.load(id, clock.nowMs());
    const promptsPerGap = (service: ServiceId) => this.fleet.promptsPerGap(service);
    const limitOf = (upstream: Upstream) => this.gate.limitOf(upstream);
    const isLoadAware = (service: ServiceId) => this.fleet.isLoadAware(service);
    const paceOf = (id: UpstreamId) => {
      const state = this.fleet.get(id);
      return state ? this.fleet.averagePaceOf(state, clock.nowMs()) : 1;
    };
    const reading = {
      listSilentMs,
      listSteadyMs,
      loadOf,
      limitOf,
      promptsPerGap,
      paceOf,
      isLoadAware,
    };
    this.dispatcher = new OrderDispatcher({ ...shared, ...reading, lease: this.orderLease });
    this.poisonPrefix = `${codec.ownPrefix}poison/`;
    this.poison = this.createPoisonGuard();
    this.originStore = this.createOriginStore(`${codec.ownPrefix}stream-origins/`);
    this.origins = this.createOrigins();
    this.versionsKey = `${codec.ownPrefix}stream-versions`;
    this.versionKeeper = this.createVersionKeeper();
    this.setStreamGate();
    const sharing = {
      clock,
      maxOf: (id: UpstreamId) => this.maxConnectionsOf(id),
      parts: () => this.entries.shares(clock.nowMs()),
    };
    const reportSoon = () => this.reporter.reportSoon();
    this.connections = new ConnectionShares({ ...sharing, fleet, link, reportSoon });
    this.connectionLedger = new ConnectionLedger({
      ...sharing,
      entryCount: () => this.orderLease.recordedEntries?.count ?? 1,
      mayGrant: () => this.orderLease.mayAnswer(),
    });
    this.reporter = new Reporter({
      host,
      availabilityZone,
      members: this.members,
      clock,
      log,
      fleet: this.fleet,
      meter: this.meter,
      entries: this.entries,
      lease: this.orderLease,
      dispatcher: this.dispatcher,
      poison: this.poison,
      quota: this.quota,
      quotaLedger: this.quotaLedger,
      gate: this.gate,
      follower: this.follower,
      connections: this.connections,
      connectionLedger: this.connectionLedger,
      peers: () => this.peers,
      loadsChanged: () => this.waitline.wakeAll(),
      hasCustomers: () => this.table?.access !== undefined,
      knownCount: () => this.knownCount(),
    });
    const handlers = {
      trial: (...args: Parameters<PoisonGuard['decideTrial']>) => this.poison.decideTrial(...args),
      suspects: () => this.poison.list(),
      lift: (...args: Parameters<PoisonGuard['lift']>) => this.poison.lift(...args),
      find: (target: Target) => this.dispatcher.find(target),
      demand: (report: DemandReport) => this.reporter.answer(report),
      customers: () =>
        this.table?.access && listCustomers(this.table.access, this.quota, this.quotaLedger),
      draw: (request: DrawRequest) => this.quotaLedger.draw(request),
      slot: (request: SlotRequest) => this.gate.answer(request),
      copyOrigins: (copies: readonly OriginCopy[]) => this.origins.receive(copies),
      storeOrigins: (copies: readonly OriginCopy[]) => this.storeOrigins(copies),
      origin: (id: RequestId) => this.origins.answer(id),
      swap: (swap: Swap) => feed.swap(swap),
      changes: (request: Parameters<SharedFeed['answer']>[0]) => this.shared.answer(request),
    };
    this.peers = new Peers(handlers, clock, log, metrics);
    const ask = (target: Target) => this.findTarget(target);
    const ordersInMs = () => this.orderLease.takeoverInMs();
    const finderOptions = { clock, log, fleet: this.fleet, meter: this.meter };
    this.targetFinder = new TargetFinder({ ...finderOptions, ask, ordersInMs });
  }

  async start(): Promise<void> {
    const { host, port } = this.context.settings.peerListen;
    await this.peers.listen(host, port);
    void this.follower.run();
    this.every(TICK_MS, () => this.tick());
    this.every(REPORT_MS, () => this.measure());
    this.reportLater();
  }

  isReady(): boolean {
    return this.hasState && this.table !== undefined && !this.isStopping;
  }

  get limits(): RouteTable['limits'] | undefined {
    return this.table?.limits;
  }

  get inFlight(): number {
    return this.runs.size + this.intakes.size;
  }

  accept(caller: Caller): void {
    const intake: Intake = new Intake(
      this,
      caller,
      (admitted) => this.run(admitted),
      () => this.intakes.delete(intake),
    );
    this.intakes.add(intake);
    intake.start();
  }

  decideAccess(request: Caller['request']): AccessDecision | undefined {
    if (!this.table) return undefined;
    const decision = decideAccess(this.table, request);
    return this.isOutdated(decision) ? { type: 'outdated' } : decision;
  }

  private isOutdated(decision: AccessDecision): boolean {
    // A key that was added while the store could not be read is unknown here but valid.
    if (decision.type === 'key-unknown') return this.follower.silentMs() > 0;
    const { strictRevokeMs } = this.context.settings;
    if (strictRevokeMs === undefined || !this.table?.access) return false;
    return this.follower.knownAgeMs() > strictRevokeMs;
  }

  refused(reason: string, customer: CustomerSpec | undefined): void {
    const labels = { reason, customer: customerLabel(this.table?.access, customer) };
    this.context.metrics.count('direct.refused', 1, labels);
  }

  /**
   * Reports not ready to the load balancer; requests in flight continue. No request is sent to an upstream from
   * `sendsUntilMs` on, and none whose answer is not expected by `endsAtMs`.
   */
  retire(sendsUntilMs: Ms = Infinity, endsAtMs: Ms = Infinity): void {
    this.isStopping = true;
    this.sendsUntilMs = sendsUntilMs;
    this.endsAtMs = endsAtMs;
  }

  get mayWait(): boolean {
    return this.clock.nowMs() < this.sendsUntilMs;
  }

  /** Refuses all requests that wait, now and from now on. */
  stopWaiting(): void {
    this.sendsUntilMs = -Infinity;
    for (const intake of [...this.intakes]) intake.endNow();
    for (const run of [...this.runs]) run.stopWaiting();
  }

  fitsStop(route: Route, model: ModelId | undefined, remainingMs: Ms): boolean {
    if (this.endsAtMs === Infinity) return true;
    const isStream = route.kind === 'streaming';
    return fitsStop({
      times: this.answerTimes.get(route.name, model),
      remainingMs,
      leftMs: this.endsAtMs - this.clock.nowMs(),
      isRepeatable: isStream ? route.isResumable : route.kind === 'idempotent',
    });
  }

  answered(route: Route, model: ModelId | undefined, tookMs: Ms): void {
    this.answerTimes.record(route.name, model, tookMs, this.clock.nowMs());
  }

  /** Gives every request its final answer, whether or not its upstream has finished. */
  endAll(): void {
    for (const intake of [...this.intakes]) intake.endNow();
    for (const run of [...this.runs]) run.endNow();
  }

  /** Releases the order lease, so that another entry need not wait for it to expire. */
  async release(): Promise<void> {
    await this.orderLease.release();
  }

  close(): void {
    this.originStore.close();
    this.isClosed = true;
    this.reporter.close();
    this.follower.stop();
    this.peers.close();
    this.link.close();
  }

  budgetOf(service: ServiceId): RetryBudget {
    return this.budgets.of(service);
  }

  listAgeMs(): Ms {
    return this.follower.knownAgeMs();
  }

  connectionLimit(upstream: UpstreamId): number {
    return this.connections.limitOf(upstream);
  }

  lackedConnection(upstream: UpstreamId): void {
    this.connections.lacked(upstream);
  }

  waitForTarget(
    ...args: Parameters<Serving['waitForTarget']>
  ): ReturnType<Serving['waitForTarget']> {
    return this.targetFinder.waitForTarget(...args);
  }

  isReturn(route: Route, deadlineMs: Ms | undefined): boolean {
    return this.returnDetector.isReturn(route.name, deadlineMs);
  }

  arrived(target: Target): void {
    this.meter.arrived(target);
  }

  waiting(target: Target, change: 1 | -1): void {
    this.meter.waiting(target, change);
  }

  refusedFull(target: Target, isReturn: boolean): void {
    // A caller counts once, whether or not its return is refused as well.
    if (!isReturn) this.meter.refusedFull(target);
  }

  began(target: Target): void {
    this.meter.began(target);
  }

  left(target: Target, tookMs: Ms): void {
    this.meter.ended(target, tookMs);
  }

  ended(end: string, route: Route | undefined, tookMs: Ms): void {
    const { metrics } = this.context;
    const kind = route?.kind ?? 'none';
    metrics.count('direct.request', 1, { end, kind });
    metrics.histogram('direct.request_ms', tookMs, { kind });
  }

  takenUp(end: string): void {
    this.context.metrics.count('direct.taken_up', 1, { end });
  }

  attempted(outcome: string): void {
    this.context.metrics.count('direct.attempt', 1, { outcome });
  }

  ejected(reason: string): void {
    this.context.metrics.count('direct.ejection', 1, { reason });
  }

  received(bytes: number, pieces: number): void {
    this.context.metrics.count('direct.answer_bytes', bytes);
    this.context.metrics.count('direct.answer_pieces', pieces);
  }

  streamBroke(next: string, position: 'known' | 'unknown'): void {
    this.context.metrics.count('direct.stream_break', 1, { next, position });
  }

  // Callbacks of the follower.

  setTable(table: RouteTable): void {
    this.table = table;
    this.answerTimes.setTable(table);
    this.originHistory.table(table, this.clock.nowMs());
    this.origins.tick();
    this.dispatcher.table = table;
    this.quotaLedger.limit(table.access);
  }

  upstream(listed: Upstream): void {
    const upstream = this.gate.withReportedState(listed);
    if (this.originHistory.upstream(upstream, this.clock.nowMs())) this.origins.tick();
    const serviceBefore = this.fleet.get(upstream.id)?.info.service;
    if (serviceBefore !== undefined && serviceBefore !== upstream.service) {
      const { id, service } = upstream;
      this.context.log.warn('upstream listed with another service', { id, service, serviceBefore });
      this.dispatcher.removeUpstream(id);
    }
    this.fleet.put(upstream);
    this.waitline.wakeService(upstream.service);
    if (upstream.isLeaving) this.poison.upstreamLeaving(upstream.id);
    this.dispatcher.upstream(upstream);
  }

  upstreamGone(id: UpstreamId): void {
    this.fleet.remove(id);
    this.waitline.wakeAll();
    this.originHistory.upstreamGone(id, this.clock.nowMs());
    this.poison.upstreamGone(id);
    this.dispatcher.removeUpstream(id);
    this.keepConnections();
  }

  upstreamRestarted(upstream: Upstream): void {
    const before = this.fleet.get(upstream.id);
    if (before) this.link.drop(before.info.address);
    this.fleet.remove(upstream.id);
    this.poison.upstreamGone(upstream.id);
    this.dispatcher.removeUpstream(upstream.id);
    this.upstream(upstream);
  }

  ownKeyChanged(key: string, item: KeyValue | undefined): void {
    if (key === this.orderLeaseKey) this.leaseRecordChanged(item);
    else if (key === this.versionsKey) this.versionKeeper.heard(item);
    else if (key.startsWith(this.poisonPrefix)) this.poison.stored(key, item);
    else if (key.startsWith(this.originStore.prefix)) this.originStore.heard(key, item);
  }

  complete(): void {
    const { record } = this.orderLease;
    if (!this.hasState && record?.entries) this.budgets.setPredecessor();
    this.originHistory.complete(record?.table, record !== undefined, this.clock.nowMs());
    this.hasState = true;
    this.versionKeeper.tick();
  }

  private leaseRecordChanged(item: KeyValue | undefined): void {
    this.orderLease.heard(item);
    const count = this.orderLease.recordedEntries?.count ?? 0;
    this.entries.setRecordedCount(count, this.clock.nowMs());
  }

  private pace(): ReturnType<ConstructorParameters<typeof Follower>[0]['pace']> {
    if (this.shared.isShared()) return paceTable.shared;
    if (this.dispatcher.isMoving()) return paceTable.moving;
    return this.orderLease.isHolder() ? paceTable.sharer : paceTable.alone;
  }

  private tick(): void {
    const nowMs = this.clock.nowMs();
    this.busiest = this.link.busiest();
    if (nowMs - this.tickedAtMs > STALL_MS) this.resumed(nowMs);
    const lagMs = Math.max(0, nowMs - this.tickedAtMs - TICK_MS);
    this.context.metrics.histogram('direct.loop_lag_ms', lagMs);
    this.tickedAtMs = nowMs;
    // After a store outage the previous holder continues if it can: a change of holder costs 3 s without orders.
    const mayTake = this.follower.steadyMs() > TAKE_AFTER_MS;
    const isDue = this.orderLease.isHolder() || mayTake;
    if (this.hasState && !this.isStopping && isDue) this.orderLease.tick();
    if (this.isStopping) for (const run of [...this.runs]) run.refuseIfLate();
    this.dispatcher.tick();
    this.poison.tick();
    if (this.hasState) this.versionKeeper.tick();
    this.origins.tick();
    this.quotaLedger.tick();
    const endedAtMs = this.clock.nowMs();
    if (endedAtMs - nowMs > STALL_MS) this.resumed(endedAtMs);
  }

  private resumed(nowMs: Ms): void {
    this.fleet.resumed(nowMs);
    const { heapUsed, external } = process.memoryUsage();
    this.log.warn('process stood still', {
      sinceTickMs: Math.round(nowMs - this.tickedAtMs),
      heapBytes: heapUsed,
      externalBytes: external,
      busiestUpstream: this.busiest?.address,
      pieces: this.busiest?.pieces,
    });
  }

  private measure(): void {
    const { metrics } = this.context;
    const { heapUsed, external } = process.memoryUsage();
    metrics.gauge('direct.heap_bytes', heapUsed);
    metrics.gauge('direct.external_bytes', external);
    metrics.gauge('direct.in_flight', this.runs.size);
    metrics.gauge('direct.configuration_version', this.table?.version ?? 0);
    metrics.gauge('direct.store_silent_ms', this.follower.silentMs());
    if (this.hasState) metrics.gauge('direct.list_age_ms', this.follower.knownAgeMs());
    metrics.gauge('direct.gives_orders', this.orderLease.mayOrder() ? 1 : 0);
    metrics.gauge('direct.upstreams_lost', this.fleet.lost(this.clock.nowMs()).length);
    metrics.gauge('direct.upstreams_ejected', this.fleet.ejectedCount);
    metrics.gauge('direct.upstreams_limited', this.gate.limitedCount());
    metrics.gauge('direct.origins_kept', this.origins.size);
    metrics.gauge('direct.queue_length', this.waitline.size);
    metrics.gauge('direct.connections_borrowed', this.connections.borrowedCount);
  }

  private createUpstreamGate(): UpstreamGate {
    const { settings, clock, log, metrics } = this.context;
    return new UpstreamGate({
      entry: settings.host,
      clock,
      log,
      metrics,
      share: () => this.slotShare(),
      draw: (request) => this.drawSlot(request),
      recentSends: (id) => this.fleet.recentSends(id, clock.nowMs()),
      heard: () => this.reporter.reportSoon(),
      upstreamLeaving: (id) => {
        const state = this.fleet.get(id);
        if (state) this.upstream(state.info);
      },
    });
  }

  /**
   * Returns the share of slots that this entry may grant; after its lease has lapsed a holder grants a part, because a
   * store outage may prevent a successor.
   */
  private slotShare(): number {
    if (this.orderLease.mayAnswer()) return 1;
    return this.orderLease.isHolder() ? rateRules.lapsedShare : 0;
  }

  private async drawSlot(request: SlotRequest): Promise<SlotAnswer | undefined> {
    if (this.orderLease.isHolder()) return this.gate.answer(request);
    const address = this.orderLease.holderAddress();
    return address === undefined ? undefined : this.peers.slot(address, request);
  }

  private createOrigins(): Origins {
    const { settings, clock, log, metrics } = this.context;
    return new Origins({
      clock,
      log,
      metrics,
      entry: settings.host,
      history: this.originHistory,
      members: () => this.members.all(clock.nowMs()),
      listAgeMs: () => this.follower.knownAgeMs(),
      copy: (address, copies) => this.peers.copyOrigins(address, copies),
      store: (copy) => this.originStore.add(copy),
      ask: (address, id) => this.peers.origin(address, id),
    });
  }

  private createOriginStore(prefix: string): OriginStore {
    const { clock, log, metrics } = this.context;
    return new OriginStore({
      clock,
      log,
      metrics,
      prefix,
      tellHolder: async (copies) => {
        const address = this.orderLease.isHolder() ? undefined : this.orderLease.holderAddress();
        return address !== undefined && this.peers.storeOrigins(address, copies);
      },
      swap: (swap) => this.swap(swap),
      receive: (copies) => this.origins.receive(copies),
    });
  }

  private createVersionKeeper(): VersionKeeper {
    const { settings, clock, log } = this.context;
    return new VersionKeeper({
      clock,
      log,
      entry: settings.host,
      key: this.versionsKey,
      history: this.originHistory,
      isHolder: () => this.orderLease.isHolder(),
      listAgeMs: () => this.follower.knownAgeMs(),
      swap: (swap) => this.swap(swap),
      changed: () => {
        this.setStreamGate();
        this.origins.tick();
        this.waitline.wakeAll();
      },
    });
  }

  private setStreamGate(): void {
    this.fleet.setStreamGate((upstream) => this.originHistory.mayBegin(upstream));
  }

  /** Stores copies for another entry, if this one holds the order lease. */
  private storeOrigins(copies: readonly OriginCopy[]): boolean {
    if (!this.orderLease.isHolder()) return false;
    this.originStore.write(copies);
    return true;
  }

  /** Writes to the store, through another entry if the store did not take the call. */
  private async swap(swap: Swap): ReturnType<ChangeFeed['swap']> {
    const outcome = await this.context.feed.swap(swap);
    // Another entry may reach the store while this one cannot.
    const isUndone = outcome.err && outcome.val.type !== 'store-outcome-unknown';
    return isUndone ? this.relay(swap) : outcome;
  }

  private createPoisonGuard(): PoisonGuard {
    const { settings, clock, log, metrics } = this.context;
    return new PoisonGuard({
      host: settings.host,
      clock,
      log,
      metrics,
      verdictValidMs: settings.poisonKeepMs,
      prefix: this.poisonPrefix,
      swap: (swap) => this.swap(swap),
      isHolder: () => this.orderLease.isHolder(),
      requestTrial: async (request) => {
        const address = this.orderLease.holderAddress();
        return address === undefined ? undefined : this.peers.trial(address, request);
      },
      reportSoon: () => this.reporter.reportSoon(),
      upstreamCount: (service) => [...this.fleet.upstreamsOf(service)].length,
      isListed: (id) => {
        const isFresh = this.follower.steadyMs() > poisonLimits.listLapseMs;
        return isFresh ? this.fleet.get(id) !== undefined : undefined;
      },
    });
  }

  /** Sends a write through the entry that reported last. */
  private relay(swap: Swap): ReturnType<ChangeFeed['swap']> {
    const address = this.reporter.lastPeer();
    if (address !== undefined) return this.peers.swap(address, swap);
    const detail = 'No other entry is known.';
    return Promise.resolve(result.Err({ type: 'store-unavailable' as const, detail }));
  }

  private async findTarget(target: Target): Promise<FindAnswer | undefined> {
    if (this.orderLease.isHolder()) return this.dispatcher.find(target);
    const address = this.orderLease.holderAddress();
    if (address === undefined) return undefined;
    const found = await this.peers.find(address, target);
    return found?.type === 'not-holder' ? undefined : found;
  }

  private async draw(request: DrawRequest): Promise<DrawAnswer | undefined> {
    if (this.orderLease.isHolder()) return this.quotaLedger.draw(request);
    const address = this.orderLease.holderAddress();
    return address === undefined ? undefined : this.peers.draw(address, request);
  }

  private run(admitted: Admitted): void {
    const run: Run = new Run(this, admitted, () => this.runs.delete(run));
    this.runs.add(run);
    run.start();
  }

  /** Returns the number of parts of shared budgets; after a start at least that of the last lease record. */
  private entryParts(): number {
    const known = this.entries.known(this.clock.nowMs());
    const parts = quotaParts(known > 1 ? known : undefined);
    return Math.max(parts, this.orderLease.recordedEntries?.parts ?? 0);
  }

  /** Returns the number of entries; a new holder uses at least the recorded one until all have reported to it. */
  private knownCount(): number {
    const heard = this.entries.count(this.clock.nowMs());
    return this.quotaLedger.knowsAllEntries()
      ? heard
      : Math.max(heard, this.orderLease.recordedEntries?.count ?? 0);
  }

  private every(ms: Ms, act: () => void): void {
    this.clock.after(ms, () => {
      if (this.isClosed) return;
      act();
      this.every(ms, act);
    });
  }

  /** Sends reports, more often while a service is load-aware. */
  private reportLater(): void {
    const ms = this.fleet.hasLoadAware() ? sharedLoadRules.reportMs : REPORT_MS;
    this.clock.after(ms, () => {
      if (this.isClosed) return;
      this.reporter.report();
      this.reportLater();
    });
  }

  private maxConnectionsOf(id: UpstreamId): number | undefined {
    const state = this.fleet.get(id);
    return state && this.table?.services.get(state.info.service)?.maxConnections;
  }

  private keepConnections(): void {
    const addresses = new Set<string>();
    for (const { info } of this.fleet.all()) addresses.add(info.address);
    this.link.keep(addresses);
  }
}
