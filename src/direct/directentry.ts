import { result, type Clock, type Ms, type ServiceId, type UpstreamId } from '../base/index.js';
import { takeoverDelay } from '../core/orderturn/index.js';
import type { CustomerSpec } from '../core/access/index.js';
import { quotaParts } from '../core/quota/index.js';
import { RetryBudget } from '../core/retrybudget/index.js';
import { rateRules } from '../core/sharedrate/index.js';
import { judge, type Judgement, type Route, type RouteTable } from '../core/routetable/index.js';
import type { Upstream } from '../core/upstreams/index.js';
import type { ChangeFeed, KeyValue, Log, Metrics, Swap, UpstreamLink } from '../port/index.js';
import type { Caller } from './caller.js';
import type { DirectSettings } from './directsettings.js';
import { EntryCount } from './entrycount.js';
import { Intake, type Admitted } from './intake/index.js';
import {
  DemandMeter,
  OrderDesk,
  Peers,
  TurnKeeper,
  type DemandReport,
  type FoundNeed,
} from './orders/index.js';
import { PoisonDesk, poisonLimits } from './poison/index.js';
import {
  customerLabel,
  QuotaBook,
  QuotaDesk,
  tellCustomers,
  type DrawAnswer,
  type DrawQuestion,
} from './quota/index.js';
import { Fleet, type Need } from './route/index.js';
import { Reporter } from './reporter.js';
import { Returns } from './returns.js';
import { UpstreamGate, type SlotAnswer, type SlotQuestion } from './selfreport/index.js';
import { Run } from './run/index.js';
import { Seeker } from './seeker.js';
import type { Serving } from './serving.js';
import type { StateCodec } from './statecodec.js';
import { Follower, paceTable, SharedFeed } from './sync/index.js';

/** What an entry stands on. */
interface DirectContext {
  readonly settings: DirectSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly feed: ChangeFeed;
  readonly codec: StateCodec;
  readonly link: UpstreamLink;
}

const LEAST_CONNECTIONS = 4;
/** How often orders are planned and the right to give them is looked after. */
const TICK_MS = 100;
/** A tick that comes this late shows that the process was stopped, or had no processor. */
const STOOD_STILL_MS = 300;
/** How often an entry tells the holder of orders what it is asked for. */
const REPORT_MS = 250;
const TAKE_AFTER_MS = 700;

/** An entry that reaches upstreams itself. */
export class DirectEntry implements Serving {
  readonly clock: Clock;

  readonly log: Log;

  readonly link: UpstreamLink;

  readonly fleet: Fleet;

  readonly poison: PoisonDesk;

  readonly quota: QuotaDesk;

  readonly gate: UpstreamGate;

  table: RouteTable | undefined;

  mayWait = true;

  private readonly budgets = new Map<ServiceId, RetryBudget>();

  private readonly follower: Follower;

  private readonly shared: SharedFeed;

  private readonly entries = new EntryCount();

  private readonly returns = new Returns();

  private readonly runs = new Set<Run>();

  private readonly intakes = new Set<Intake>();

  private readonly quotaBook: QuotaBook;

  private readonly meter: DemandMeter;

  private readonly turn: TurnKeeper;

  private readonly desk: OrderDesk;

  private readonly peers: Peers;

  private readonly seeker: Seeker;

  private readonly turnKey: string;

  private readonly poisonPrefix: string;

  private readonly reporter: Reporter;

  private hasState = false;

  private tickedAtMs: Ms = 0;

  private isStopping = false;

  private isClosed = false;

  constructor(private readonly context: DirectContext) {
    const { clock, log, link, settings, feed, codec } = context;
    this.clock = clock;
    this.log = log;
    this.link = link;
    this.gate = this.upstreamGate();
    this.fleet = new Fleet(settings.availabilityZone, this.gate);
    const { host, peerListen, orderTurnMs, loadWindowMs, loadOvershoot } = settings;
    const address = `${peerListen.host}:${peerListen.port}`;
    this.shared = new SharedFeed({
      feed,
      codec,
      clock,
      log,
      sharer: () => {
        const holder = this.turn.holderAddress();
        return holder === address ? undefined : holder;
      },
      ask: (to, question) => this.peers.changes(to, question),
    });
    this.follower = new Follower(this.shared, codec, this, clock, log, () => this.pace());
    this.meter = new DemandMeter(host, address);
    this.turnKey = `${codec.ownPrefix}order-turn`;
    this.turn = new TurnKeeper({
      host,
      address,
      key: this.turnKey,
      turnMs: orderTurnMs,
      delayMs: takeoverDelay(host, settings.cores),
      feed,
      clock,
      log,
      relay: (swap) => this.relay(swap),
      entries: () => ({ count: this.knownCount(), parts: this.entryParts() }),
      took: (isFirst) => {
        this.desk.took(isFirst);
        this.quotaBook.took(isFirst);
        this.gate.took();
      },
    });
    const { quotaTerms: terms } = settings;
    const parts = () => this.entryParts();
    this.quotaBook = new QuotaBook({
      clock,
      terms,
      parts,
      entryCount: () => this.knownCount(),
      mayGrant: () => this.turn.mayAnswer(),
    });
    this.quota = new QuotaDesk({ entry: host, clock, terms, parts, draw: (q) => this.draw(q) });
    const { metrics } = context;
    const shared = { link, clock, log, metrics, host, loadWindowMs, loadOvershoot };
    const listSilentMs = () => this.follower.silentMs();
    const listSteadyMs = () => this.follower.steadyMs();
    const loadOf = (id: UpstreamId) => this.fleet.load(id, clock.nowMs());
    const promptsPerPause = (service: ServiceId) => this.fleet.promptsPerPause(service);
    const limitOf = (upstream: Upstream) => this.gate.limitOf(upstream);
    const reading = { listSilentMs, listSteadyMs, loadOf, limitOf, promptsPerPause };
    this.desk = new OrderDesk({ ...shared, ...reading, turn: this.turn });
    this.poisonPrefix = `${codec.ownPrefix}poison/`;
    this.poison = this.poisonDesk();
    this.reporter = new Reporter({
      host,
      clock,
      log,
      fleet: this.fleet,
      meter: this.meter,
      entries: this.entries,
      turn: this.turn,
      desk: this.desk,
      poison: this.poison,
      quota: this.quota,
      quotaBook: this.quotaBook,
      gate: this.gate,
      peers: () => this.peers,
      hasCustomers: () => this.table?.access !== undefined,
    });
    const handlers = {
      trial: (...args: Parameters<PoisonDesk['hearTrial']>) => this.poison.hearTrial(...args),
      suspects: () => this.poison.list(),
      lift: (...args: Parameters<PoisonDesk['lift']>) => this.poison.lift(...args),
      find: (need: Need) => this.desk.find(need),
      demand: (report: DemandReport) => this.reporter.hear(report),
      customers: () =>
        this.table?.access && tellCustomers(this.table.access, this.quota, this.quotaBook),
      draw: (question: DrawQuestion) => this.quotaBook.draw(question),
      slot: (question: SlotQuestion) => this.gate.answer(question),
      swap: (swap: Swap) => feed.swap(swap),
      changes: (question: Parameters<SharedFeed['answer']>[0]) => this.shared.answer(question),
    };
    this.peers = new Peers(handlers, clock, log);
    const ask = (need: Need) => this.askHolder(need);
    const ordersInMs = () => this.turn.vacantForMs();
    const seeking = { clock, log, fleet: this.fleet, meter: this.meter };
    this.seeker = new Seeker({ ...seeking, ask, ordersInMs });
  }

  async start(): Promise<void> {
    const { host, port } = this.context.settings.peerListen;
    await this.peers.listen(host, port);
    void this.follower.run();
    this.every(TICK_MS, () => this.tick());
    this.every(REPORT_MS, () => {
      this.measure();
      this.reporter.report();
    });
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

  judge(request: Caller['request']): Judgement | undefined {
    if (!this.table) return undefined;
    const judged = judge(this.table, request);
    return this.isOutdated(judged) ? { type: 'outdated' } : judged;
  }

  private isOutdated(judged: Judgement): boolean {
    // A key that was added while the store could not be read is unknown here, and right.
    if (judged.type === 'key-unknown') return this.follower.silentMs() > 0;
    const { strictRevokeMs } = this.context.settings;
    if (strictRevokeMs === undefined || !this.table?.access) return false;
    return this.follower.knownAgeMs() > strictRevokeMs;
  }

  refused(reason: string, customer: CustomerSpec | undefined): void {
    const labels = { reason, customer: customerLabel(this.table?.access, customer) };
    this.context.metrics.count('direct.refused', 1, labels);
  }

  /** Takes no new work from the balancer; what runs goes on. */
  retire(): void {
    this.isStopping = true;
  }

  /** Refuses what waits, now and from now on. */
  stopWaiting(): void {
    this.mayWait = false;
    for (const run of [...this.runs]) run.stopWaiting();
  }

  /** Gives every request its final answer, whatever an upstream still does. */
  endAll(): void {
    for (const intake of [...this.intakes]) intake.endNow();
    for (const run of [...this.runs]) run.endNow();
  }

  /** Another entry need not wait for this one's right to give orders to lapse. */
  async release(): Promise<void> {
    await this.turn.release();
  }

  close(): void {
    this.isClosed = true;
    this.reporter.close();
    this.follower.stop();
    this.peers.close();
    this.link.close();
  }

  budgetOf(service: ServiceId): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      const { retryRatio, retrySlack, retryWindowMs } = this.context.settings;
      budget = new RetryBudget({
        windowMs: retryWindowMs,
        ratio: retryRatio,
        slack: () => retrySlack / this.entries.shares(this.clock.nowMs()),
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }

  connectionShare(maxConnections = 0): number {
    const shares = this.entries.shares(this.clock.nowMs());
    return Math.max(LEAST_CONNECTIONS, Math.floor(maxConnections / shares));
  }

  seek(...args: Parameters<Serving['seek']>): ReturnType<Serving['seek']> {
    return this.seeker.seek(...args);
  }

  isReturn(route: Route, deadlineMs: Ms | undefined): boolean {
    return this.returns.isReturn(route.name, deadlineMs);
  }

  arrived(need: Need): void {
    this.meter.arrived(need);
  }

  waiting(need: Need, change: 1 | -1): void {
    this.meter.waiting(need, change);
  }

  began(need: Need): void {
    this.meter.began(need);
  }

  left(need: Need, tookMs: Ms): void {
    this.meter.ended(need, tookMs);
  }

  ended(end: string, route: Route | undefined, tookMs: Ms): void {
    const { metrics } = this.context;
    const kind = route?.kind ?? 'none';
    metrics.count('direct.request', 1, { end, kind });
    metrics.histogram('direct.request_ms', tookMs, { kind });
  }

  attempted(outcome: string): void {
    this.context.metrics.count('direct.attempt', 1, { outcome });
  }

  // What the follower tells.

  setTable(table: RouteTable): void {
    this.table = table;
    this.desk.table = table;
    this.quotaBook.limit(table.access);
  }

  upstream(listed: Upstream): void {
    const upstream = this.gate.told(listed);
    this.fleet.put(upstream);
    if (upstream.isLeaving) this.poison.upstreamLeaves(upstream.id);
    this.desk.upstream(upstream);
  }

  upstreamGone(id: UpstreamId): void {
    this.fleet.remove(id);
    this.poison.upstreamGone(id);
    this.desk.upstreamGone(id);
    this.keepConnections();
  }

  upstreamRestarted(upstream: Upstream): void {
    const before = this.fleet.get(upstream.id);
    if (before) this.link.drop(before.info.address);
    this.fleet.remove(upstream.id);
    this.poison.upstreamGone(upstream.id);
    this.desk.upstreamGone(upstream.id);
    this.upstream(upstream);
  }

  own(key: string, item: KeyValue | undefined): void {
    if (key === this.turnKey) this.turn.heard(item);
    else if (key.startsWith(this.poisonPrefix)) this.poison.stored(key, item);
  }

  complete(): void {
    this.hasState = true;
  }

  private pace(): ReturnType<ConstructorParameters<typeof Follower>[5]> {
    if (this.shared.isShared()) return paceTable.shared;
    if (this.desk.isMoving()) return paceTable.moving;
    return this.turn.isHolder() ? paceTable.sharer : paceTable.alone;
  }

  private tick(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.tickedAtMs > STOOD_STILL_MS) this.woke(nowMs);
    this.tickedAtMs = nowMs;
    // After an outage of the store the holder before goes on, if it still can: a change costs 3 s.
    const mayTake = this.follower.steadyMs() > TAKE_AFTER_MS;
    const isDue = this.turn.isHolder() || mayTake;
    if (this.hasState && !this.isStopping && isDue) this.turn.tick();
    this.desk.tick();
    this.poison.tick();
    this.quotaBook.tick();
    const endedAtMs = this.clock.nowMs();
    if (endedAtMs - nowMs > STOOD_STILL_MS) this.woke(endedAtMs);
  }

  private woke(nowMs: Ms): void {
    this.fleet.woke(nowMs);
    this.log.warn('process stood still', { sinceTickMs: Math.round(nowMs - this.tickedAtMs) });
  }

  private measure(): void {
    const { metrics } = this.context;
    metrics.gauge('direct.in_flight', this.runs.size);
    metrics.gauge('direct.configuration_version', this.table?.version ?? 0);
    metrics.gauge('direct.store_silent_ms', this.follower.silentMs());
    metrics.gauge('direct.gives_orders', this.turn.mayOrder() ? 1 : 0);
    metrics.gauge('direct.upstreams_lost', this.fleet.lost(this.clock.nowMs()).length);
    metrics.gauge('direct.upstreams_limited', this.gate.limitedCount());
  }

  private upstreamGate(): UpstreamGate {
    const { settings, clock, log, metrics } = this.context;
    return new UpstreamGate({
      entry: settings.host,
      clock,
      log,
      metrics,
      share: () => this.slotShare(),
      draw: (question) => this.drawSlot(question),
      sentLately: (id) => this.fleet.sentLately(id, clock.nowMs()),
      heard: () => this.reporter.reportSoon(),
      leaves: (id) => {
        const state = this.fleet.get(id);
        if (state) this.upstream(state.info);
      },
    });
  }

  /** While the store is away nobody can take the right over, and slots are still wanted. */
  private slotShare(): number {
    if (this.turn.mayAnswer()) return 1;
    return this.turn.isHolder() ? rateRules.lapsedShare : 0;
  }

  private async drawSlot(question: SlotQuestion): Promise<SlotAnswer | undefined> {
    if (this.turn.isHolder()) return this.gate.answer(question);
    const address = this.turn.holderAddress();
    return address === undefined ? undefined : this.peers.slot(address, question);
  }

  private poisonDesk(): PoisonDesk {
    const { settings, clock, log, metrics, feed } = this.context;
    return new PoisonDesk({
      host: settings.host,
      clock,
      log,
      metrics,
      keepMs: settings.poisonKeepMs,
      prefix: this.poisonPrefix,
      swap: async (swap) => {
        const said = await feed.swap(swap);
        // Another entry may have a way to the store while this one has none.
        const isUndone = said.err && said.val.type !== 'store-outcome-unknown';
        return isUndone ? this.relay(swap) : said;
      },
      isHolder: () => this.turn.isHolder(),
      askHolder: async (question) => {
        const address = this.turn.holderAddress();
        return address === undefined ? undefined : this.peers.trial(address, question);
      },
      tellSoon: () => this.reporter.reportSoon(),
      upstreamCount: (service) => [...this.fleet.of(service)].length,
      isListed: (id) => {
        const isFresh = this.follower.steadyMs() > poisonLimits.leavesListMs;
        return isFresh ? this.fleet.get(id) !== undefined : undefined;
      },
    });
  }

  /** Through the entry that was heard from last. */
  private relay(swap: Swap): ReturnType<ChangeFeed['swap']> {
    const address = this.reporter.lastOther();
    if (address !== undefined) return this.peers.swap(address, swap);
    const detail = 'No other entry is known.';
    return Promise.resolve(result.Err({ type: 'store-unavailable' as const, detail }));
  }

  private async askHolder(need: Need): Promise<FoundNeed | undefined> {
    if (this.turn.isHolder()) return this.desk.find(need);
    const address = this.turn.holderAddress();
    if (address === undefined) return undefined;
    const found = await this.peers.find(address, need);
    return found?.type === 'not-holder' ? undefined : found;
  }

  private async draw(question: DrawQuestion): Promise<DrawAnswer | undefined> {
    if (this.turn.isHolder()) return this.quotaBook.draw(question);
    const address = this.turn.holderAddress();
    return address === undefined ? undefined : this.peers.draw(address, question);
  }

  private run(admitted: Admitted): void {
    const run: Run = new Run(this, admitted, () => this.runs.delete(run));
    this.runs.add(run);
    run.start();
  }

  /** One that has just started goes by what the last holder wrote. */
  private entryParts(): number {
    const known = this.entries.known(this.clock.nowMs());
    const parts = quotaParts(known > 1 ? known : undefined);
    return Math.max(parts, this.turn.toldEntries?.parts ?? 0);
  }

  /** A successor does not know at once whom the one before it knew. */
  private knownCount(): number {
    const heard = this.entries.count(this.clock.nowMs());
    return this.quotaBook.knowsAll() ? heard : Math.max(heard, this.turn.toldEntries?.count ?? 0);
  }

  private every(ms: Ms, act: () => void): void {
    this.clock.after(ms, () => {
      if (this.isClosed) return;
      act();
      this.every(ms, act);
    });
  }

  private keepConnections(): void {
    const addresses = new Set<string>();
    for (const { info } of this.fleet.all()) addresses.add(info.address);
    this.link.keep(addresses);
  }
}
