import type { Clock, ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import { isContinuable } from '../../core/origin/index.js';
import type { Move, PlanInput, PlanUpstream } from '../../core/allocation/index.js';
import type { RouteTable, ServiceSpec } from '../../core/routetable/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Log, Metrics, UpstreamLink } from '../../port/index.js';
import type { Target } from '../route/index.js';
import { AdapterLoader } from './adapterloader.js';
import { adoptModels } from './adoptmodels.js';
import { createView } from './createview.js';
import { DemandEstimator } from './demandestimator.js';
import type { DemandReport } from './demandreport.js';
import type { FindAnswer } from './findanswer.js';
import { enqueue } from './enqueue.js';
import { hasRoom } from './hasroom.js';
import { IdleWatch } from './idlewatch.js';
import { listLagMs } from './listlag.js';
import { LoadBudget } from './loadbudget.js';
import { Mover } from './mover.js';
import type { OrderContext } from './ordercontext.js';
import type { ResidencyUpdate } from './residencyupdate.js';
import type { ResidencyCursor } from './residencycursor.js';
import { LostUpstreams } from './lostupstreams.js';
import { PlanRunner } from './planrunner.js';
import { ResidencyChanges } from './residencychanges.js';
import { refresh } from './refresh.js';
import type { UpstreamView } from './upstreamview.js';
import type { OrderLeaseKeeper } from './orderleasekeeper.js';

/** Options of an order dispatcher. */
interface OrderDispatcherOptions {
  readonly lease: OrderLeaseKeeper;
  readonly link: UpstreamLink;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly host: string;
  readonly loadWindowMs: Ms;
  readonly loadOvershoot: number;
  /** How long the list of upstreams has not been readable, in ms; 0 while it is. */
  readonly listSilentMs: () => Ms;
  /** How long the list has been readable without a break, in ms; 0 while it is not. */
  readonly listSteadyMs: () => Ms;
  /** Requests at an upstream as far as this entry knows. */
  readonly loadOf: (upstream: UpstreamId) => number;
  /** Requests per second that an upstream accepts from all entries; undefined for one without a limit. */
  readonly limitOf: (upstream: Upstream) => number | undefined;
  /** Prompts that a service's engine can prefill within one target token gap; undefined if not yet measured. */
  readonly promptsPerGap: (service: ServiceId) => number | undefined;
  /** How long work takes at an upstream now, as a factor of the usual time; absent: 1. */
  readonly paceOf?: ((upstream: UpstreamId) => number) | undefined;
  /** True if a service is served load-aware; absent: none is. */
  readonly isLoadAware?: ((service: ServiceId) => boolean) | undefined;
}

type Engine = NonNullable<ServiceSpec['engine']>;

/** Upstreams appear in the list one by one; until all have, models seem to be missing. */
const SETTLE_MS = 1500;
/** Least `inMs` of an answer: entries learn of a loaded model a little later. */
const MIN_ANSWER_MS = 25;
/**
 * A lease holder requests all upstreams' counts of orders this long before it may send orders: a new holder that
 * requested them one by one while it planned moves started no move in its first 25 s.
 */
const REQUEST_COUNTS_BEFORE_MS = 300;
/** Expected time until a target is ready that no move is in progress for: the next plan and a load from disk. */
const UNPLANNED_MS = 900;
/** Expected time until a load from the weight store starts: the next plan and evictions. */
const PLAN_MS = 300;

/**
 * A find request is answered within this, in ms, and may be repeated. Entries wait 400 ms for an answer; without one
 * they treat the holder as lost. Loading an adapter takes 20 ms at an upstream without other orders. A refusal costs
 * the caller least within a quarter of its target: 62 ms for a target of 250 ms.
 */
const FIND_ANSWER_MS = 45;
const ASK_AGAIN: FindAnswer = { type: 'later', inMs: 150, isUnderWay: true };

/** Plans and sends orders while this process holds the order lease. */
export class OrderDispatcher {
  private readonly views = new Map<UpstreamId, UpstreamView>();

  private readonly book: DemandEstimator;

  private readonly residencyChanges = new ResidencyChanges();

  private readonly lostUpstreams = new LostUpstreams();

  private readonly orders: OrderContext;

  private readonly adapters: AdapterLoader;

  private readonly budget: LoadBudget;

  private readonly mover: Mover;

  private readonly planRunner: PlanRunner;

  private readonly idleWatch: IdleWatch;

  /** When the newest upstream first appeared. */
  private newestAtMs: Ms = 0;

  /** True until the upstreams' counts of orders have been requested after a takeover or an outage of the list. */
  private needsCounts = false;

  /** True while the list may show a state from before its last outage. */
  private isListBehind = false;

  table: RouteTable | undefined;

  constructor(private readonly options: OrderDispatcherOptions) {
    this.book = new DemandEstimator(options.isLoadAware);
    this.budget = new LoadBudget(options.loadWindowMs, options.loadOvershoot);
    this.orders = { ...options, engineOf: (service) => this.engineOf(service) };
    this.adapters = new AdapterLoader(this.orders, this.book, this.residencyChanges);
    this.mover = new Mover({
      ...this.orders,
      listSilentMs: () => this.listBehindMs(),
      budget: this.budget,
      news: this.residencyChanges,
      isListed: (view) => this.views.get(view.info.id) === view,
    });
    this.planRunner = new PlanRunner({
      ...options,
      input: (service) => this.planInput(service),
      startMove: (service, move, input, ageMs) => this.startMove(service, move, input, ageMs),
    });
    this.idleWatch = new IdleWatch({
      ...options,
      input: (service) => this.planInput(service),
      refusedSince: (service, sinceMs) => this.book.refusedFullSince(service, sinceMs),
    });
  }

  /** Called when this process takes the order lease; the previous holder's orders and loads still count. */
  leaseTaken(isFirst: boolean): void {
    for (const view of this.views.values()) view.orderCount = isFirst ? 0 : undefined;
    this.needsCounts = !isFirst;
    if (isFirst) return;
    for (const { engine } of this.table?.services.values() ?? []) {
      if (engine) this.budget.assumeSpent(engine.loadsPerSecond, this.options.clock.nowMs());
    }
  }

  upstream(info: Upstream): void {
    const nowMs = this.options.clock.nowMs();
    let view = this.views.get(info.id);
    const isNew = view === undefined;
    if (!view) {
      view = createView(info);
      this.views.set(info.id, view);
      this.newestAtMs = nowMs;
    }
    view.info = info;
    // Orders sent and reports received during an outage of the list are newer than the list's first state after it.
    const isViewNewer = !isNew && this.options.lease.isHolder() && this.listBehindMs() > 0;
    if (!isViewNewer) adoptModels(view, info.models, 'list', nowMs);
  }

  removeUpstream(id: UpstreamId): void {
    this.views.delete(id);
  }

  /** True while a move waits for the list to show its effect. */
  isMoving(): boolean {
    return this.mover.isMoving();
  }

  demand(report: DemandReport): void {
    const nowMs = this.options.clock.nowMs();
    this.book.take(report, nowMs);
    this.lostUpstreams.take(report, nowMs);
  }

  /** Returns the residency changes by own orders since an entry's cursor. */
  news(cursor: ResidencyCursor | undefined): ResidencyUpdate {
    return this.residencyChanges.since(cursor, this.options.lease.epoch);
  }

  /** Plans and starts moves. Called several times a second. */
  tick(): void {
    const { clock, lease } = this.options;
    const nowMs = clock.nowMs();
    this.book.advance(nowMs);
    this.catchUp();
    if (this.needsCounts && lease.isHolder() && lease.ordersInMs() <= REQUEST_COUNTS_BEFORE_MS) {
      this.requestCounts();
    }
    if (!lease.isHolder()) this.idleWatch.stop();
    if (!lease.mayOrder()) return;
    this.adapters.tick();
    for (const { id, engine } of this.table?.services.values() ?? []) {
      if (engine) this.planRunner.plan(id);
      if (engine && this.options.isLoadAware?.(id)) this.idleWatch.tick(id);
    }
  }

  /** Returns for how much longer, at least, the list may show a state from before its last outage. */
  private listBehindMs(): Ms {
    return Math.max(0, listLagMs - this.options.listSteadyMs());
  }

  /** Requests reports from upstreams once the list is current again, as its updates were ignored until then. */
  private catchUp(): void {
    const wasBehind = this.isListBehind;
    this.isListBehind = this.listBehindMs() > 0;
    if (!wasBehind || this.isListBehind || !this.options.lease.isHolder()) return;
    for (const view of this.views.values()) view.orderCount = undefined;
    this.needsCounts = true;
  }

  /** Requests the count of orders from all engines whose count is unknown, concurrently. */
  private requestCounts(): void {
    this.needsCounts = false;
    for (const view of this.views.values()) {
      const isEngine = this.engineOf(view.info.service) !== undefined;
      if (!isEngine || view.orderCount !== undefined) continue;
      void enqueue(view, () => refresh(this.orders, view));
    }
  }

  /** Finds an upstream for a target, loading an adapter if necessary; else returns when to ask again. */
  async find(target: Target): Promise<FindAnswer> {
    const { lease, clock } = this.options;
    if (!lease.isHolder()) return { type: 'not-holder' };
    const { service, model, adapter, origin } = target;
    const engine = this.engineOf(service);
    if (model === undefined || !engine) return this.later(target);
    const replicas = this.withoutLimit(this.replicas(target));
    if (replicas.length === 0) return this.later(target);
    if (adapter === undefined) return { type: 'ready', upstream: replicas[0]!.info.id };
    this.book.adapterUsed(model, adapter, clock.nowMs());
    const loaded = replicas.find((view) => view.models.get(model)!.adapters.has(adapter));
    if (!loaded && !lease.mayOrder()) return this.later(target);
    return this.answerInTime(
      this.adapters.ensureLoaded(
        () => this.withoutLimit(this.replicas(target)),
        engine,
        model,
        adapter,
        origin,
      ),
    );
  }

  private engineOf(service: ServiceId): Engine | undefined {
    return this.table?.services.get(service)?.engine;
  }

  private isLost(view: UpstreamView): boolean {
    return this.lostUpstreams.isLost(view.info.id, this.options.clock.nowMs());
  }

  private answerInTime(finding: Promise<FindAnswer>): Promise<FindAnswer> {
    return new Promise((resolve) => {
      const cancel = this.options.clock.after(FIND_ANSWER_MS, () => resolve(ASK_AGAIN));
      void finding.then((found) => {
        cancel();
        resolve(found);
      });
    });
  }

  /** Returns the upstreams that have the target's model and, if a stream is continued, can continue it. */
  private replicas({ service, model, origin }: Target): UpstreamView[] {
    const found: UpstreamView[] = [];
    for (const view of this.views.values()) {
      const { info, models } = view;
      if (info.service !== service || info.isLeaving || this.isLost(view)) continue;
      if (origin && !isContinuable(info, origin, model)) continue;
      if (model !== undefined && models.get(model)?.phase === 'ready') found.push(view);
    }
    return found;
  }

  /** Returns the replicas at upstreams without a rate limit, if any: requests queue at limited upstreams. */
  private withoutLimit(replicas: readonly UpstreamView[]): readonly UpstreamView[] {
    const free = replicas.filter(({ info }) => this.options.limitOf(info) === undefined);
    return free.length > 0 ? free : replicas;
  }

  /** Plans at once for a model without a replica, so that the answer can contain when it will be loaded. */
  private later(target: Target): FindAnswer {
    const { service, model, origin } = target;
    const nowMs = this.options.clock.nowMs();
    const engine = this.engineOf(service);
    const isBeingMoved = this.mover.expectedAtMs(target) !== undefined;
    if (model !== undefined && engine && this.options.lease.mayOrder()) {
      // A replica that is loaded for streams stays until they have found it.
      if (!isBeingMoved || origin) {
        this.book.wanted(service, model, nowMs, origin?.softwareVersion);
      }
      if (!isBeingMoved) this.planRunner.plan(service);
    }
    const expectedAtMs = this.mover.expectedAtMs(target);
    const waitMs = this.options.lease.ordersInMs();
    if (expectedAtMs === undefined) {
      const inMs = waitMs + this.unplannedMs(engine, model);
      return { type: 'later', inMs, isUnderWay: waitMs > 0 };
    }
    return { type: 'later', inMs: Math.max(MIN_ANSWER_MS, expectedAtMs - nowMs), isUnderWay: true };
  }

  /** Returns the expected time until a model is loaded that no move is in progress for. */
  private unplannedMs(engine: Engine | undefined, model: ModelId | undefined): Ms {
    const spec = model === undefined ? undefined : engine?.models.get(model);
    if (!spec) return UNPLANNED_MS;
    for (const { info } of this.views.values()) {
      if (info.warm.has(spec.id) || info.onDisk.has(spec.id)) return UNPLANNED_MS;
    }
    return PLAN_MS + spec.loadMs;
  }

  /** Returns the input of a plan; undefined while too little is known of demand or upstreams. */
  private planInput(service: ServiceId): PlanInput | undefined {
    const engine = this.engineOf(service);
    const nowMs = this.options.clock.nowMs();
    const isDemandKnown = this.book.isDemandKnown(nowMs);
    const isSettled = isDemandKnown || nowMs >= this.newestAtMs + SETTLE_MS;
    if (!engine || !isSettled) return undefined;
    const upstreams: PlanUpstream[] = [];
    const ready = new Set<ModelId>();
    for (const view of this.views.values()) {
      const { info, models } = view;
      if (info.service !== service || info.isLeaving || this.isLost(view)) continue;
      upstreams.push(this.planUpstream(view, nowMs));
      for (const [model, { phase }] of models) if (phase === 'ready') ready.add(model);
    }
    const coldLoadsLeft = this.budget.left(engine.loadsPerSecond, nowMs);
    const demand = this.book.estimate(service, nowMs, (model) => ready.has(model));
    const promptsPerGap = this.options.promptsPerGap(service);
    return { engine, upstreams, demand, isDemandKnown, coldLoadsLeft, promptsPerGap };
  }

  /** Starts a move of a plan, unless the state that it is based on has changed. */
  private startMove(
    service: ServiceId,
    move: Move,
    { engine, demand }: PlanInput,
    planAgeMs: Ms,
  ): void {
    const { clock, lease } = this.options;
    const view = this.views.get(move.upstream);
    if (!view || view.isMoving || view.info.isLeaving || !lease.mayOrder()) return;
    const isResting = view.restUntilMs > clock.nowMs();
    const isReady = (model: ModelId) => view.models.get(model)?.phase === 'ready';
    if (isResting || view.models.has(move.model) || !move.evicted.every(isReady)) return;
    if (!hasRoom(view, engine, move)) return;
    void this.mover.move(view, service, move, { demand, planAgeMs });
  }

  private paceOf({ id, service }: Upstream): number {
    const { isLoadAware, paceOf } = this.options;
    return isLoadAware?.(service) ? (paceOf?.(id) ?? 1) : 1;
  }

  private planUpstream(view: UpstreamView, nowMs: Ms): PlanUpstream {
    const { info, models, isMoving, restUntilMs } = view;
    const placed = [...models].map(([model, { phase, sinceMs, adapters }]) => ({
      model,
      phase,
      ageMs: nowMs - sinceMs,
      adapters,
    }));
    return {
      id: info.id,
      slots: info.slots,
      softwareVersion: info.softwareVersion,
      pace: this.paceOf(info),
      ratePerS: this.options.limitOf(info),
      placed,
      isBusy: isMoving || restUntilMs > nowMs,
      warm: info.warm,
      onDisk: info.onDisk,
      load: this.options.loadOf(info.id),
    };
  }
}
