import type { Clock, ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { Move, PlanInput, PlanUpstream } from '../../core/allocation/index.js';
import type { RouteTable, ServiceSpec } from '../../core/routetable/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Log, Metrics, UpstreamLink } from '../../port/index.js';
import type { Need } from '../route/index.js';
import { AdapterDesk } from './adapterdesk.js';
import { adoptList } from './adoptlist.js';
import { DemandBook } from './demandbook.js';
import type { DemandReport } from './demandreport.js';
import type { FoundNeed } from './foundneed.js';
import { inTurn } from './inturn.js';
import { listLagMs } from './listlag.js';
import { LoadBudget } from './loadbudget.js';
import { Mover } from './mover.js';
import type { NewsBatch } from './newsbatch.js';
import type { NewsMark } from './newsmark.js';
import { LostBook } from './lostbook.js';
import { Planning } from './planning.js';
import { PlaceNews } from './placenews.js';
import { refresh } from './refresh.js';
import type { Track } from './track.js';
import type { TurnKeeper } from './turnkeeper.js';

/** Options of a desk. */
interface OrderDeskOptions {
  readonly turn: TurnKeeper;
  readonly link: UpstreamLink;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly host: string;
  readonly loadWindowMs: Ms;
  readonly loadOvershoot: number;
  /** How long the list of upstreams has not been heard of; 0 while it is. */
  readonly listSilentMs: () => Ms;
  /** How long the list has been heard of without a break; 0 while it is not. */
  readonly listSteadyMs: () => Ms;
  /** Requests at an upstream, by this entry's knowledge. */
  readonly loadOf: (upstream: UpstreamId) => number;
  /** Requests a second that an upstream takes from all entries; undefined where it has named no limit. */
  readonly limitOf: (upstream: Upstream) => number | undefined;
  /** Prompts that its engines read in the time of a pause that is in time. */
  readonly promptsPerPause: (service: ServiceId) => number | undefined;
}

type Engine = NonNullable<ServiceSpec['engine']>;

/** Upstreams that start come into the list one by one; before all are there, models seem to be missing. */
const SETTLE_MS = 1500;
/** A time that is told is at least this far off: entries hear of a model that is there a little later. */
const LOOK_MS = 25;
/**
 * A holder asks upstreams for their counts of orders this long before it may give any: asked one by one as moves
 * were planned, a successor began no move in its first 25 s.
 */
const LEARN_BEFORE_MS = 300;
/** When nothing is under way for a need yet: the next plan and a load from disk. */
const UNPLANNED_MS = 900;
/** The next plan, and room made for a load from the weight store. */
const PLAN_MS = 300;

/**
 * An entry that asks is answered within this, in ms, and may ask again: it waits 400 for an answer, and took
 * one that came later for the loss of the holder. An adapter takes 20 where its upstream has no other order;
 * a refusal within a quarter of the target, 62 at the Agency, costs its caller least.
 */
const FIND_PATIENCE_MS = 45;
const ASK_AGAIN: FoundNeed = { type: 'later', inMs: 150, isUnderWay: true };

/** Gives the orders, while this process has the right to. */
export class OrderDesk {
  private readonly tracks = new Map<UpstreamId, Track>();

  private readonly book = new DemandBook();

  private readonly placeNews = new PlaceNews();

  private readonly lostBook = new LostBook();

  private readonly adapters: AdapterDesk;

  private readonly budget: LoadBudget;

  private readonly mover: Mover;

  private readonly planning: Planning;

  /** When an upstream was last seen for the first time. */
  private newestAtMs: Ms = 0;

  /** True until the upstreams' counts have been asked for since the right to give orders was taken. */
  private isToLearn = false;

  /** Whether the list may tell of a time before its last silence. */
  private isListBehind = false;

  table: RouteTable | undefined;

  constructor(private readonly options: OrderDeskOptions) {
    this.budget = new LoadBudget(options.loadWindowMs, options.loadOvershoot);
    this.adapters = new AdapterDesk(options, this.book, this.placeNews);
    this.mover = new Mover({
      ...options,
      listSilentMs: () => this.listBehindMs(),
      budget: this.budget,
      news: this.placeNews,
      isListed: (track) => this.tracks.get(track.info.id) === track,
    });
    this.planning = new Planning({
      ...options,
      input: (service) => this.planInput(service),
      begin: (service, move, input) => this.begin(service, move, input),
    });
  }

  /** This process has the right to give orders; an earlier one's orders and loads count as well. */
  took(isFirst: boolean): void {
    for (const track of this.tracks.values()) track.orderCount = isFirst ? 0 : undefined;
    this.isToLearn = !isFirst;
    if (isFirst) return;
    for (const { engine } of this.table?.services.values() ?? []) {
      if (engine) this.budget.tookOver(engine.loadsPerSecond, this.options.clock.nowMs());
    }
  }

  upstream(info: Upstream): void {
    const nowMs = this.options.clock.nowMs();
    let track = this.tracks.get(info.id);
    const isNew = track === undefined;
    if (!track) {
      track = {
        info,
        // Unless it has just started, an earlier holder may have given it orders.
        orderCount: undefined,
        done: new Map(),
        going: new Set(),
        doubt: undefined,
        models: new Map(),
        isMoving: false,
        coming: 0,
        arriving: 0,
        restUntilMs: 0,
        turn: Promise.resolve(),
      };
      this.tracks.set(info.id, track);
      this.newestAtMs = nowMs;
    }
    track.info = info;
    // What was ordered, or asked of the upstream, before the list fell silent is newer than its first words after that.
    const isKnownBetter = !isNew && this.options.turn.isHolder() && this.listBehindMs() > 0;
    if (!isKnownBetter) adoptList(track, info.models, nowMs);
  }

  upstreamGone(id: UpstreamId): void {
    this.tracks.delete(id);
  }

  /** Whether the list's next word is waited for. */
  isMoving(): boolean {
    return this.mover.isMoving();
  }

  demand(report: DemandReport): void {
    const nowMs = this.options.clock.nowMs();
    this.book.take(report, nowMs);
    this.lostBook.take(report, nowMs);
  }

  /** What own orders have changed since an entry last heard of it. */
  news(mark: NewsMark | undefined): NewsBatch {
    return this.placeNews.since(mark, this.options.turn.epoch);
  }

  /** Plans and begins moves; to be called several times a second. */
  tick(): void {
    const { clock, turn } = this.options;
    const nowMs = clock.nowMs();
    this.book.advance(nowMs);
    this.catchUp();
    if (this.isToLearn && turn.isHolder() && turn.ordersInMs() <= LEARN_BEFORE_MS) {
      this.learnCounts();
    }
    if (!turn.mayOrder()) return;
    this.adapters.tick();
    for (const { id, engine } of this.table?.services.values() ?? []) {
      if (engine) this.planning.plan(id);
    }
  }

  /** For how long yet the list may tell of a time before its last silence; it may last longer. */
  private listBehindMs(): Ms {
    return Math.max(0, listLagMs - this.options.listSteadyMs());
  }

  /** The list tells of now again: what it told meanwhile was passed over, so that upstreams are asked themselves. */
  private catchUp(): void {
    const wasBehind = this.isListBehind;
    this.isListBehind = this.listBehindMs() > 0;
    if (!wasBehind || this.isListBehind || !this.options.turn.isHolder()) return;
    for (const track of this.tracks.values()) track.orderCount = undefined;
    this.isToLearn = true;
  }

  /** Asks all upstreams of models at once how many orders they have taken. */
  private learnCounts(): void {
    this.isToLearn = false;
    for (const track of this.tracks.values()) {
      const isEngine = this.table?.services.get(track.info.service)?.engine !== undefined;
      if (!isEngine || track.orderCount !== undefined) continue;
      void inTurn(track, () => refresh(this.options, track));
    }
  }

  /** Makes an upstream ready for a need, if that is a matter of milliseconds; else says when to ask again. */
  async find(need: Need): Promise<FoundNeed> {
    const { turn, clock } = this.options;
    if (!turn.isHolder()) return { type: 'not-holder' };
    const { service, model, adapter } = need;
    const engine = this.table?.services.get(service)?.engine;
    if (model === undefined || !engine) return this.later(need);
    const holders = this.roomiest(this.holders(service, model));
    if (holders.length === 0) return this.later(need);
    if (adapter === undefined) return { type: 'ready', upstream: holders[0]!.info.id };
    this.book.used(model, adapter, clock.nowMs());
    const having = holders.find((track) => track.models.get(model)!.adapters.has(adapter));
    if (!having && !turn.mayOrder()) return this.later(need);
    return this.patient(
      this.adapters.bring(
        () => this.roomiest(this.holders(service, model)),
        engine,
        model,
        adapter,
      ),
    );
  }

  private isLost(track: Track): boolean {
    return this.lostBook.isLost(track.info.id, this.options.clock.nowMs());
  }

  private patient(finding: Promise<FoundNeed>): Promise<FoundNeed> {
    return new Promise((resolve) => {
      const forget = this.options.clock.after(FIND_PATIENCE_MS, () => resolve(ASK_AGAIN));
      void finding.then((found) => {
        forget();
        resolve(found);
      });
    });
  }

  private holders(service: ServiceId, model: ModelId): Track[] {
    const found: Track[] = [];
    for (const track of this.tracks.values()) {
      const { info, models } = track;
      if (info.service !== service || info.isLeaving || this.isLost(track)) continue;
      if (models.get(model)?.phase === 'ready') found.push(track);
    }
    return found;
  }

  /** Those without a limit, if there are any: what is brought to the others waits there for its turn. */
  private roomiest(holders: readonly Track[]): readonly Track[] {
    const free = holders.filter(({ info }) => this.options.limitOf(info) === undefined);
    return free.length > 0 ? free : holders;
  }

  /** Plans at once for a model that nobody holds, so that the answer can say when it will be there. */
  private later({ service, model }: Need): FoundNeed {
    const nowMs = this.options.clock.nowMs();
    const engine = this.table?.services.get(service)?.engine;
    const isComing = this.mover.expectedAtMs(service, model) !== undefined;
    if (model !== undefined && engine && !isComing && this.options.turn.mayOrder()) {
      this.book.wanted(service, model, nowMs);
      this.planning.plan(service);
    }
    const expectedAtMs = this.mover.expectedAtMs(service, model);
    const waitMs = this.options.turn.ordersInMs();
    if (expectedAtMs === undefined) {
      const inMs = waitMs + this.unplannedMs(engine, model);
      return { type: 'later', inMs, isUnderWay: waitMs > 0 };
    }
    return { type: 'later', inMs: Math.max(LOOK_MS, expectedAtMs - nowMs), isUnderWay: true };
  }

  /** How long a model takes for which nothing is under way yet. */
  private unplannedMs(engine: Engine | undefined, model: ModelId | undefined): Ms {
    const spec = model === undefined ? undefined : engine?.models.get(model);
    if (!spec) return UNPLANNED_MS;
    for (const { info } of this.tracks.values()) {
      if (info.warm.has(spec.id) || info.onDisk.has(spec.id)) return UNPLANNED_MS;
    }
    return PLAN_MS + spec.loadMs;
  }

  /** What a plan is made from; undefined while it would be made too soon. */
  private planInput(service: ServiceId): PlanInput | undefined {
    const engine = this.table?.services.get(service)?.engine;
    const nowMs = this.options.clock.nowMs();
    const isDemandKnown = this.book.isDemandKnown(nowMs);
    const isSettled = isDemandKnown || nowMs >= this.newestAtMs + SETTLE_MS;
    if (!engine || !isSettled) return undefined;
    const upstreams: PlanUpstream[] = [];
    const ready = new Set<ModelId>();
    for (const track of this.tracks.values()) {
      const { info, models } = track;
      if (info.service !== service || info.isLeaving || this.isLost(track)) continue;
      upstreams.push(this.planUpstream(track, nowMs));
      for (const [model, { phase }] of models) if (phase === 'ready') ready.add(model);
    }
    const coldLoadsLeft = this.budget.left(engine.loadsPerSecond, nowMs);
    const demand = this.book.of(service, nowMs, (model) => ready.has(model));
    const promptsPerPause = this.options.promptsPerPause(service);
    return { engine, upstreams, demand, isDemandKnown, coldLoadsLeft, promptsPerPause };
  }

  /** Begins a move of a plan, unless things have changed since its state was read. */
  private begin(service: ServiceId, move: Move, { demand }: PlanInput): void {
    const { clock, turn } = this.options;
    const track = this.tracks.get(move.upstream);
    if (!track || track.isMoving || track.info.isLeaving || !turn.mayOrder()) return;
    const isResting = track.restUntilMs > clock.nowMs();
    const isReady = (model: ModelId) => track.models.get(model)?.phase === 'ready';
    if (isResting || track.models.has(move.model) || !move.evicted.every(isReady)) return;
    void this.mover.move(track, service, move, demand);
  }

  private planUpstream(track: Track, nowMs: Ms): PlanUpstream {
    const { info, models, isMoving, restUntilMs } = track;
    const placed = [...models].map(([model, { phase, sinceMs, adapters }]) => ({
      model,
      phase,
      ageMs: nowMs - sinceMs,
      adapters,
    }));
    return {
      id: info.id,
      slots: info.slots,
      ratePerS: this.options.limitOf(info),
      placed,
      isBusy: isMoving || restUntilMs > nowMs,
      warm: info.warm,
      onDisk: info.onDisk,
      load: this.options.loadOf(info.id),
    };
  }
}
