import type { ModelId, Ms, ServiceId, UpstreamId } from '../../src/base/index.js';
import type { ModelSpec, RouteTable, ServiceSpec } from '../../src/core/routetable/index.js';
import type { Upstream } from '../../src/core/upstreams/index.js';
import {
  OrderDispatcher,
  type DemandReport,
  type OrderLeaseKeeper,
} from '../../src/direct/orders/index.js';
import type { UpstreamLink } from '../../src/port/index.js';
import { OrderedUpstream } from './orderedupstream.js';
import { SlowClock } from './slowclock.js';

type Order = Parameters<UpstreamLink['order']>[0];
type Outcome = Awaited<ReturnType<UpstreamLink['order']>>;

/** Load and failure of a run. */
interface Scenario {
  /** Requests per second for a model at a time. */
  readonly rateOf: (model: number, nowMs: Ms) => number;
  /** Pace of each engine in turn; absent: 1. */
  readonly paces?: readonly number[];
  /** False if the plan does not know the paces. */
  readonly knowsPaces?: boolean;
  readonly isLoadAware?: boolean;
  /** One in this many orders is carried out late, and gets no answer. */
  readonly lateOrderOneIn?: number;
  /** The holder dies as it sends its first order after this time. */
  readonly holderDiesAtMs?: Ms;
  /** A third of the engines leaves at this time. */
  readonly enginesLeaveAtMs?: Ms;
  /** No load may be started: the holder's orders are all refused. */
  readonly refusesOrders?: boolean;
}

interface Engine {
  readonly upstream: OrderedUpstream;
  readonly pace: number;
  running: number;
  isGone: boolean;
}

const SERVICE = 's' as ServiceId;
const ENGINE_COUNT = 12;
const MODEL_COUNT = 16;
const SLOTS = 8;
const RUN_MS = 700;
const STEP_MS = 50;
const REPORT_MS = 100;
const TICK_MS = 100;
const SPACING_MS = 3000;
const RETURN_MS = 1200;
const MAX_WAIT_MS = 1500;
const ORDER_TIMEOUT_MS = 600;
/** What happens before this is not counted: demand is not known yet. */
const COUNTED_FROM_MS = 8000;

/** Engines with slots, callers that return once after a refusal, and a holder that places models. */
export class PlacementWorld {
  readonly offered = Array.from({ length: MODEL_COUNT }, () => 0);

  readonly served = Array.from({ length: MODEL_COUNT }, () => 0);

  /** Sum of the paces of the engines at which counted requests were served. */
  paceSum = 0;

  /** Log lines of the holder. */
  readonly lines: { readonly message: string; readonly fields: object }[] = [];

  readonly gauges: number[] = [];

  private readonly clock = new SlowClock(0.01);

  private readonly engines: Engine[];

  private readonly holders;

  private readonly spec: NonNullable<ServiceSpec['engine']>;

  private readonly meters = new Map<
    number,
    { arrivals: number; refusedFull: number; ended: number; running: number; waiting: number }
  >();

  private readonly due = Array.from({ length: MODEL_COUNT }, () => 0);

  private orderCount = 0;

  private hasDied = false;

  constructor(private readonly scenario: Scenario) {
    const times = { loadMs: 1200, diskLoadMs: 1200, warmLoadMs: 1200 };
    const models = Array.from({ length: MODEL_COUNT }, (_one, at): ModelSpec => {
      const id = `m${at}` as ModelId;
      return { id, sizeMb: 65, adapterCount: 0, adapterSizeMb: 0, ...times };
    });
    this.spec = {
      weightsMb: 200,
      adapterSlots: 4,
      loadsPerSecond: 8,
      models: new Map(models.map((model) => [model.id, model])),
    };
    const { paces = [1] } = scenario;
    this.engines = Array.from({ length: ENGINE_COUNT }, (_one, at) => ({
      upstream: new OrderedUpstream({
        id: `u${at}` as UpstreamId,
        engine: this.spec,
        clock: this.clock,
        models: [0, 1, 2].map((place) => `m${(at * 3 + place) % MODEL_COUNT}` as ModelId),
        reportLagMs: 200,
        hasOldModels: false,
        hasUncountedUnloads: false,
        unloadMs: () => 300,
        changed: (upstream) => this.publish(upstream),
      }),
      pace: paces[at % paces.length]!,
      running: 0,
      isGone: false,
    }));
    this.holders = ['entry-1', 'entry-2'].map((host) => this.createHolder(host));
    for (const { upstream } of this.engines) this.publish(upstream);
    this.take(0, true);
    this.repeat(STEP_MS, () => this.step());
    this.repeat(REPORT_MS, () => this.report());
    this.repeat(TICK_MS, () => this.holders.forEach(({ dispatcher }) => dispatcher.tick()));
    this.repeat(1000, () => this.engines.forEach(({ upstream }) => this.publish(upstream)));
    if (scenario.enginesLeaveAtMs !== undefined) {
      this.clock.after(scenario.enginesLeaveAtMs, () => this.removeThird());
    }
  }

  async run(untilMs: Ms): Promise<void> {
    await this.clock.run(untilMs);
  }

  get overfills(): readonly string[] {
    return this.engines.flatMap(({ upstream }) => upstream.overfills);
  }

  /** Returns the share of the first tries that were served, at once or as they returned. */
  servedShare(from = 0, to = MODEL_COUNT): number {
    const sum = (counts: readonly number[]) =>
      counts.slice(from, to).reduce((total, count) => total + count, 0);
    return sum(this.served) / sum(this.offered);
  }

  /** Returns the number of replicas of a model at engines with this pace. */
  replicasAt(model: number, pace: number): number {
    return this.engines.filter(
      (engine) => engine.pace === pace && engine.upstream.held().has(`m${model}` as ModelId),
    ).length;
  }

  private createHolder(host: string) {
    const { clock, scenario } = this;
    const state = { epoch: 0, isHeld: false, ordersFromMs: 0 };
    const lease = {
      get epoch() {
        return state.epoch;
      },
      isHolder: () => state.isHeld,
      mayOrder: () => state.isHeld && clock.nowMs() >= state.ordersFromMs,
      ordersInMs: () => Math.max(0, state.ordersFromMs - clock.nowMs()),
    } as unknown as OrderLeaseKeeper;
    const link = {
      order: (order: Order) => this.order(order),
      report: async (id: UpstreamId) => {
        await this.pause(2);
        return this.engines.find(({ upstream }) => upstream.id === id)!.upstream.report();
      },
    } as unknown as UpstreamLink;
    const dispatcher = new OrderDispatcher({
      lease,
      link,
      clock,
      log: {
        info: (message, fields) => this.lines.push({ message, fields: fields ?? {} }),
        warn() {},
        error() {},
      },
      metrics: {
        count() {},
        gauge: (name, value) => {
          if (name === 'direct.engines_idle_beside_refusals') this.gauges.push(value);
        },
        histogram() {},
      },
      host,
      loadWindowMs: 5000,
      loadOvershoot: 1.1,
      listSilentMs: () => 0,
      listSteadyMs: () => clock.nowMs() + 10_000,
      loadOf: (id) => this.engines.find(({ upstream }) => upstream.id === id)?.running ?? 0,
      limitOf: () => undefined,
      promptsPerGap: () => 9,
      paceOf: (id) =>
        scenario.knowsPaces === false
          ? 1
          : this.engines.find(({ upstream }) => upstream.id === id)!.pace,
      isLoadAware: () => scenario.isLoadAware ?? true,
    });
    const services = new Map([[SERVICE, { id: SERVICE, maxConnections: 10, engine: this.spec }]]);
    dispatcher.table = { services } as unknown as RouteTable;
    return { dispatcher, state };
  }

  private take(at: number, isFirst: boolean): void {
    const { dispatcher, state } = this.holders[at]!;
    const epoch = Math.max(...this.holders.map((holder) => holder.state.epoch)) + 1;
    const ordersFromMs = isFirst ? 0 : this.clock.peekMs() + SPACING_MS;
    Object.assign(state, { epoch, isHeld: true, ordersFromMs });
    dispatcher.leaseTaken(isFirst);
  }

  private async order(order: Order): Promise<Outcome> {
    const { holderDiesAtMs = Infinity, lateOrderOneIn = Infinity, refusesOrders } = this.scenario;
    this.orderCount += 1;
    await this.pause(2);
    if (refusesOrders) return 'rejected';
    if (!this.hasDied && this.clock.peekMs() >= holderDiesAtMs) {
      this.hasDied = true;
      this.holders[0]!.state.isHeld = false;
      this.clock.after(1000, () => this.take(1, false));
      return 'unsent';
    }
    const { upstream } = this.engines.find((engine) => engine.upstream.id === order.upstream)!;
    if (this.orderCount % lateOrderOneIn === 0) {
      this.clock.after(800 + ((this.orderCount * 397) % 5000), () => upstream.take(order));
      await this.pause(ORDER_TIMEOUT_MS);
      return 'unknown';
    }
    return upstream.take(order);
  }

  private removeThird(): void {
    for (const engine of this.engines.filter((_one, at) => at % 3 === 0)) {
      engine.isGone = true;
      for (const { dispatcher } of this.holders) dispatcher.removeUpstream(engine.upstream.id);
    }
  }

  private publish(upstream: OrderedUpstream): void {
    const record: Upstream = {
      id: upstream.id,
      startedAtMs: 0,
      service: SERVICE,
      address: upstream.id,
      availabilityZone: 'z',
      slots: SLOTS,
      isLeaving: false,
      models: upstream.held(),
      warm: new Set(),
      onDisk: new Set(),
    };
    this.clock.after(60, () => {
      // Undefined while the engines are being created.
      if (this.engines?.find((engine) => engine.upstream === upstream)?.isGone) return;
      for (const { dispatcher } of this.holders) dispatcher.upstream(record);
    });
  }

  private step(): void {
    const nowMs = this.clock.peekMs();
    for (let model = 0; model < MODEL_COUNT; model += 1) {
      this.due[model]! += (this.scenario.rateOf(model, nowMs) * STEP_MS) / 1000;
      for (; this.due[model]! >= 1; this.due[model]! -= 1) {
        const isCounted = nowMs >= COUNTED_FROM_MS;
        if (isCounted) this.offered[model]! += 1;
        this.arrive(model, isCounted, false);
      }
    }
  }

  private meter(model: number) {
    let meter = this.meters.get(model);
    if (!meter) {
      meter = { arrivals: 0, refusedFull: 0, ended: 0, running: 0, waiting: 0 };
      this.meters.set(model, meter);
    }
    return meter;
  }

  private arrive(model: number, isCounted: boolean, isReturn: boolean): void {
    this.meter(model).arrivals += 1;
    this.attempt(model, isCounted, isReturn, this.clock.peekMs());
  }

  private attempt(model: number, isCounted: boolean, isReturn: boolean, sinceMs: Ms): void {
    const meter = this.meter(model);
    const holding = this.engines.filter(
      ({ upstream, isGone }) => !isGone && upstream.held().has(`m${model}` as ModelId),
    );
    const free = holding.filter(({ running }) => running < SLOTS);
    if (free.length > 0) {
      this.serve(model, free, isCounted);
    } else if (holding.length > 0) {
      if (!isReturn) {
        meter.refusedFull += 1;
        this.clock.after(RETURN_MS, () => this.arrive(model, isCounted, true));
      }
    } else if (this.clock.peekMs() - sinceMs < MAX_WAIT_MS) {
      meter.waiting += 1;
      this.clock.after(STEP_MS, () => {
        meter.waiting -= 1;
        this.attempt(model, isCounted, isReturn, sinceMs);
      });
    }
  }

  private serve(model: number, free: readonly Engine[], isCounted: boolean): void {
    const room = ({ running, pace }: Engine) => (SLOTS - running) / pace;
    const engine = free.reduce((best, other) => (room(other) > room(best) ? other : best));
    const meter = this.meter(model);
    engine.running += 1;
    meter.running += 1;
    if (isCounted) {
      this.served[model]! += 1;
      this.paceSum += engine.pace;
    }
    this.clock.after(RUN_MS * engine.pace, () => {
      engine.running -= 1;
      meter.running -= 1;
      meter.ended += 1;
    });
  }

  private report(): void {
    const models: DemandReport['models'][number][] = [];
    for (const [model, meter] of this.meters) {
      const names = { service: SERVICE, model: `m${model}` as ModelId };
      models.push({ ...names, ...meter, adapters: [], busyAdapters: [] });
      Object.assign(meter, { arrivals: 0, refusedFull: 0, ended: 0 });
    }
    for (const { dispatcher } of this.holders) {
      dispatcher.demand({ entry: 'e', address: 'a', models, lost: [] });
    }
  }

  private repeat(everyMs: Ms, act: () => void): void {
    this.clock.after(everyMs, () => {
      act();
      this.repeat(everyMs, act);
    });
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }
}
