import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ModelId, Ms, ServiceId, UpstreamId } from '../../src/base/index.js';
import type { ModelSpec, RouteTable, ServiceSpec } from '../../src/core/routetable/index.js';
import type { Upstream } from '../../src/core/upstreams/index.js';
import { OrderDispatcher, type OrderLeaseKeeper } from '../../src/direct/orders/index.js';
import type { UpstreamLink } from '../../src/port/index.js';
import { OrderedUpstream } from './orderedupstream.js';
import { SlowClock } from './slowclock.js';

type Engine = NonNullable<ServiceSpec['engine']>;
type Order = Parameters<UpstreamLink['order']>[0];
type Outcome = Awaited<ReturnType<UpstreamLink['order']>>;

/** Faults and properties of a run; each fault is off if absent. */
interface Scenario {
  /** True if the service is load-aware: orders without an answer are superseded instead of waited for. */
  readonly isLoadAware?: boolean;
  /** One in this many orders gets no answer, and may be carried out seconds later. */
  readonly lateOrderOneIn?: number;
  /** Least and greatest delay of a late order, counted from its sending. */
  readonly lateAfterMs?: readonly [Ms, Ms];
  /** One in this many orders is carried out at once, and its answer is lost. */
  readonly lostAnswerOneIn?: number;
  /** True if the models of a report are older than its count of orders. */
  readonly hasOldModels?: boolean;
  /** True if an unload of what is not held leaves the count of orders as it is. */
  readonly hasUncountedUnloads?: boolean;
  /** One in this many records reaches the list seconds late. */
  readonly lateRecordOneIn?: number;
  /** One in this many reports gets no answer. */
  readonly lostReportOneIn?: number;
  /** Mean time between upstreams' losses of their network. */
  readonly cutEveryMs?: Ms;
  /** Mean time between restarts of upstreams. */
  readonly restartEveryMs?: Ms;
  /** Mean time between outages of the list. */
  readonly outageEveryMs?: Ms;
  /** Mean time between changes of the order lease holder. */
  readonly takeoverEveryMs?: Ms;
  /** Memory that each adapter takes; the default leaves room for all adapter slots beside any set of models. */
  readonly adapterSizeMb?: number;
  /** Time that each reading of the clock takes: the larger, the slower the holder's host. */
  readonly readingMs?: Ms;
}

/** One entry that may hold the order lease. */
interface Holder {
  readonly dispatcher: OrderDispatcher;
  readonly lease: { epoch: number; isHeld: boolean; ordersFromMs: Ms };
}

const SERVICE = 's' as ServiceId;
const MODEL_COUNT = 12;
const UPSTREAM_COUNT = 5;
const SIZES_MB = [65, 72, 42];
const ADAPTER_SLOTS = 3;
const ADAPTER_SIZE_MB = 0.5;
const READING_MS = 0.05;
const TICK_MS = 100;
const RECORD_EVERY_MS = 1200;
const LIST_LAG_MS = 60;
const SPACING_MS = 3000;
const OUTAGE_MS = 5000;
const REPORT_LAG_MS = 200;
const NETWORK_MS = 3;
const MAX_CUT_MS = 6000;
const CONNECT_TIMEOUT_MS = 400;
const ORDER_TIMEOUT_MS = 600;
const LATE_AFTER_MS = [2000, 12_000] as const;
const DEMAND_EVERY_MS = 250;
/** Each demand shift selects this many models in use. */
const IN_USE = 7;
const SHIFT_EVERY_MS = 4000;

function engineOf(adapterSizeMb: number): Engine {
  const models = Array.from({ length: MODEL_COUNT }, (_one, at): ModelSpec => {
    const sizeMb = SIZES_MB[at % SIZES_MB.length]!;
    const times = { loadMs: 1200, diskLoadMs: 500, warmLoadMs: 400 };
    return { id: `m${at}` as ModelId, sizeMb, adapterCount: 6, adapterSizeMb, ...times };
  });
  return {
    weightsMb: 200,
    adapterSlots: ADAPTER_SLOTS,
    loadsPerSecond: 4,
    models: new Map(models.map((model) => [model.id, model])),
  };
}

/** Entries that take the order lease in turn, and upstreams that count what they are ordered to hold. */
export class OrderWorld {
  private readonly clock: SlowClock;

  private readonly engine: Engine;

  private readonly upstreams: readonly OrderedUpstream[];

  private readonly holders: readonly Holder[];

  private readonly generator;

  /** Orders that the upstream accepted late. */
  lateLoads = 0;

  private inUse: readonly ModelId[] = [];

  private regainedAtMs: Ms = -Infinity;

  private isSilent = false;

  /** Start of each upstream as last delivered to a dispatcher. */
  private readonly listed = new Map<OrderDispatcher, Map<UpstreamId, Ms>>();

  private readonly cutUntilMs = new Map<UpstreamId, Ms>();

  /** Records written to the list but not yet delivered, because the list is silent. */
  private withheld: (() => void)[] = [];

  constructor(
    seed: number,
    private readonly scenario: Scenario,
  ) {
    const { readingMs = READING_MS, adapterSizeMb = ADAPTER_SIZE_MB } = scenario;
    this.generator = xoroshiro128plus(seed);
    this.clock = new SlowClock(readingMs);
    this.engine = engineOf(adapterSizeMb);
    this.upstreams = Array.from({ length: UPSTREAM_COUNT }, (_one, at) => this.createUpstream(at));
    this.holders = ['entry-1', 'entry-2'].map((host) => this.createHolder(host));
    for (const upstream of this.upstreams) this.publish(upstream);
    this.take(this.holders[0]!, true);
    this.repeat(TICK_MS, () => this.tick());
    this.repeat(RECORD_EVERY_MS, () => this.upstreams.forEach((one) => this.publish(one)));
    this.repeat(DEMAND_EVERY_MS, () => this.reportDemand());
    this.repeat(SHIFT_EVERY_MS, () => this.shiftDemand());
    this.shiftDemand();
    this.startFaults();
  }

  /** Returns the orders that an upstream had no room for. */
  get overfills(): readonly string[] {
    return this.upstreams.flatMap(({ overfills }) => overfills);
  }

  get acceptedLoads(): number {
    return this.upstreams.reduce((sum, { acceptedLoads }) => sum + acceptedLoads, 0);
  }

  async run(untilMs: Ms): Promise<void> {
    await this.clock.run(untilMs);
  }

  private createUpstream(at: number): OrderedUpstream {
    const models = [at * 2, at * 2 + 1].map((place) => `m${place % MODEL_COUNT}` as ModelId);
    return new OrderedUpstream({
      id: `u${at}` as UpstreamId,
      engine: this.engine,
      clock: this.clock,
      models,
      reportLagMs: REPORT_LAG_MS,
      hasOldModels: this.scenario.hasOldModels ?? false,
      hasUncountedUnloads: this.scenario.hasUncountedUnloads ?? false,
      unloadMs: () => (this.oneIn(2) ? 0 : this.random(800)),
      changed: (upstream) => this.publish(upstream),
    });
  }

  private createHolder(host: string): Holder {
    const { clock } = this;
    const state = { epoch: 0, isHeld: false, ordersFromMs: 0 };
    const lease = {
      get epoch() {
        return state.epoch;
      },
      isHolder: () => state.isHeld,
      mayOrder: () => state.isHeld && !this.isSilent && clock.nowMs() >= state.ordersFromMs,
      ordersInMs: () => Math.max(0, state.ordersFromMs - clock.nowMs()),
    } as unknown as OrderLeaseKeeper;
    const link = {
      order: (order: Order) => this.order(order),
      report: (id: UpstreamId) => this.report(id),
    } as unknown as UpstreamLink;
    const dispatcher = new OrderDispatcher({
      lease,
      link,
      clock,
      log: { info() {}, warn() {}, error() {} },
      metrics: { count() {}, gauge() {}, histogram() {} },
      host,
      loadWindowMs: 5000,
      loadOvershoot: 1.1,
      listSilentMs: () => (this.isSilent ? 1 : 0),
      listSteadyMs: () => (this.isSilent ? 0 : clock.nowMs() - this.regainedAtMs),
      loadOf: () => 0,
      limitOf: () => undefined,
      promptsPerGap: () => undefined,
      isLoadAware: () => this.scenario.isLoadAware ?? false,
    });
    const services = new Map([[SERVICE, { id: SERVICE, maxConnections: 10, engine: this.engine }]]);
    dispatcher.table = { services } as unknown as RouteTable;
    return { dispatcher, lease: state };
  }

  private startFaults(): void {
    const { cutEveryMs, restartEveryMs, outageEveryMs, takeoverEveryMs } = this.scenario;
    if (cutEveryMs !== undefined) this.atRandom(cutEveryMs, () => this.cutOff());
    if (restartEveryMs !== undefined) {
      this.atRandom(restartEveryMs, () => this.upstreams[this.random(UPSTREAM_COUNT)]!.restart());
    }
    if (outageEveryMs !== undefined) this.atRandom(outageEveryMs, () => this.startOutage());
    if (takeoverEveryMs !== undefined) this.atRandom(takeoverEveryMs, () => this.changeHolder());
  }

  private cutOff(): void {
    const { id } = this.upstreams[this.random(UPSTREAM_COUNT)]!;
    this.cutUntilMs.set(id, this.clock.peekMs() + this.random(MAX_CUT_MS));
  }

  private isReachable({ id, isDown }: OrderedUpstream): boolean {
    return !isDown && this.clock.peekMs() >= (this.cutUntilMs.get(id) ?? -Infinity);
  }

  private tick(): void {
    for (const { dispatcher } of this.holders) dispatcher.tick();
  }

  /** Gives the lease to the other entry, or leaves it with the same one. */
  private changeHolder(): void {
    const [one, other] = this.holders as readonly [Holder, Holder];
    const [next, last] = one.lease.isHeld ? [other, one] : [one, other];
    last.lease.isHeld = false;
    this.take(next, false);
  }

  private take({ dispatcher, lease }: Holder, isFirst: boolean): void {
    const state = lease;
    state.epoch += 1;
    state.isHeld = true;
    state.ordersFromMs = isFirst ? 0 : this.clock.peekMs() + SPACING_MS;
    dispatcher.leaseTaken(isFirst);
  }

  /** The list is silent; a takeover written meanwhile takes effect at the end, and orders may be sent at once. */
  private startOutage(): void {
    if (this.isSilent) return;
    this.isSilent = true;
    this.clock.after(OUTAGE_MS, () => {
      this.isSilent = false;
      this.regainedAtMs = this.clock.peekMs();
      const { withheld } = this;
      this.withheld = [];
      if (this.oneIn(2)) {
        this.changeHolder();
        for (const { lease } of this.holders) lease.ordersFromMs = 0;
      }
      for (const deliver of withheld) if (this.oneIn(2)) deliver();
    });
  }

  private publish(upstream: OrderedUpstream): void {
    if (!this.isReachable(upstream)) return;
    const record = this.recordOf(upstream);
    const deliver = () => {
      for (const { dispatcher } of this.holders) {
        if (record.startedAtMs! >= upstream.startedAtMs) this.deliver(dispatcher, record);
      }
    };
    const { lateRecordOneIn = 0 } = this.scenario;
    const isLate = lateRecordOneIn > 0 && this.oneIn(lateRecordOneIn);
    const lagMs = isLate ? 1000 + this.random(5000) : this.random(LIST_LAG_MS);
    this.clock.after(lagMs, () => {
      if (this.isSilent) this.withheld.push(deliver);
      else deliver();
    });
  }

  private deliver(dispatcher: OrderDispatcher, record: Upstream): void {
    const known = this.listed.get(dispatcher) ?? new Map<UpstreamId, Ms>();
    this.listed.set(dispatcher, known);
    const before = known.get(record.id);
    known.set(record.id, record.startedAtMs!);
    if (before !== undefined && before !== record.startedAtMs) {
      dispatcher.removeUpstream(record.id);
    }
    dispatcher.upstream(record);
  }

  private recordOf(upstream: OrderedUpstream): Upstream {
    return {
      id: upstream.id,
      startedAtMs: upstream.startedAtMs,
      service: SERVICE,
      address: upstream.id,
      availabilityZone: 'z',
      slots: 8,
      isLeaving: false,
      models: upstream.held(),
      warm: new Set(),
      onDisk: new Set(this.engine.models.keys()),
    };
  }

  private async order(order: Order): Promise<Outcome> {
    const { lateOrderOneIn = 0, lostAnswerOneIn = 0 } = this.scenario;
    const [lateFromMs, lateToMs] = this.scenario.lateAfterMs ?? LATE_AFTER_MS;
    const upstream = this.upstreams.find(({ id }) => id === order.upstream)!;
    const { startedAtMs } = upstream;
    await this.pause(1 + this.random(NETWORK_MS));
    if (!this.isReachable(upstream)) {
      await this.pause(CONNECT_TIMEOUT_MS);
      return 'unsent';
    }
    if (lateOrderOneIn > 0 && this.oneIn(lateOrderOneIn)) {
      this.clock.after(lateFromMs + this.random(lateToMs - lateFromMs), () => {
        if (upstream.isDown || upstream.startedAtMs !== startedAtMs) return;
        const outcome = upstream.take(order);
        if (outcome === 'accepted') this.lateLoads += 1;
      });
      await this.pause(ORDER_TIMEOUT_MS);
      return 'unknown';
    }
    const outcome = upstream.take(order);
    if (lostAnswerOneIn > 0 && this.oneIn(lostAnswerOneIn)) {
      await this.pause(ORDER_TIMEOUT_MS);
      return 'unknown';
    }
    await this.pause(1 + this.random(NETWORK_MS));
    return outcome;
  }

  private async report(id: UpstreamId): ReturnType<UpstreamLink['report']> {
    const { lostReportOneIn = 0 } = this.scenario;
    const upstream = this.upstreams.find((one) => one.id === id)!;
    await this.pause(1 + this.random(NETWORK_MS));
    const isLost = lostReportOneIn > 0 && this.oneIn(lostReportOneIn);
    if (!isLost && this.isReachable(upstream)) return upstream.report();
    await this.pause(500);
    return undefined;
  }

  private shiftDemand(): void {
    const names = [...this.engine.models.keys()];
    const from = this.random(MODEL_COUNT);
    this.inUse = Array.from({ length: IN_USE }, (_one, at) => names[(from + at) % MODEL_COUNT]!);
  }

  private reportDemand(): void {
    const models = this.inUse.map((model, at) => ({
      service: SERVICE,
      model,
      arrivals: 3 + (IN_USE - at),
      ended: 2,
      endedMs: 1400,
      running: IN_USE - at,
      waiting: this.random(3),
      adapters: [],
      busyAdapters: [],
    }));
    for (const { dispatcher } of this.holders) {
      dispatcher.demand({ entry: 'e', address: 'a', models, lost: [] });
      const model = this.inUse[this.random(IN_USE)]!;
      const adapter = `a${this.random(6)}`;
      void dispatcher.find({ service: SERVICE, model, adapter });
    }
  }

  private repeat(everyMs: Ms, act: () => void): void {
    this.clock.after(everyMs, () => {
      act();
      this.repeat(everyMs, act);
    });
  }

  private atRandom(meanMs: Ms, act: () => void): void {
    this.clock.after(meanMs / 2 + this.random(meanMs), () => {
      act();
      this.atRandom(meanMs, act);
    });
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }

  private random(below: number): number {
    return uniformInt(this.generator, 0, Math.max(0, Math.round(below) - 1));
  }

  private oneIn(count: number): boolean {
    return this.random(count) === 0;
  }
}
