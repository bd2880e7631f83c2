import type { Clock, ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import {
  planMoves,
  type ModelDemand,
  type Move,
  type PlanUpstream,
} from '../../core/fleetplan/index.js';
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
import { LoadBudget } from './loadbudget.js';
import type { NewsBatch } from './newsbatch.js';
import type { NewsMark } from './newsmark.js';
import { LostBook } from './lostbook.js';
import { PlaceNews } from './placenews.js';
import { refresh } from './refresh.js';
import { sendOrder } from './sendorder.js';
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
  /** Requests at an upstream, by this entry's knowledge. */
  readonly loadOf: (upstream: UpstreamId) => number;
  /** Prompts that its engines read in the time of a pause that is in time. */
  readonly promptsPerPause: (service: ServiceId) => number | undefined;
}

type Engine = NonNullable<ServiceSpec['engine']>;

/** Moves under way at once; the weight store's rate bounds those that load from it. */
const MOST_MOVES = 12;
/** Moves of one plan: each is looked for among all models and engines, and the next plan follows soon. */
const MOST_MOVES_A_PLAN = 3;
/** Upstreams that start come into the list one by one; before all are there, models seem to be missing. */
const SETTLE_MS = 1500;
/**
 * Each request for a model that nobody holds asks for a plan; a plan of 28 engines and 85 models takes 3 ms of a
 * processor, at a quarter of a core 12. They get this part of the time at most, so that requests are not late.
 */
const MOST_PLAN_SHARE = 0.05;
const PLAN_EVERY_MS = 90;
/** How often a move looks whether its order is done. */
const LOOK_MS = 25;
/** An order about a model that is not done this long after it should be is looked into. */
const OVERDUE_MS = 2500;
/** How often an upstream is asked whether an order is done, where the list does not tell. */
const ASK_EVERY_MS = 400;
/** An unload waits for the runs of its model; the longest seen took about this. */
const UNLOAD_MS = 1500;
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

  private readonly expected = new Map<string, Ms>();

  private moving = 0;

  /** When an upstream was last seen for the first time. */
  private newestAtMs: Ms = 0;

  private readonly nextPlanAtMs = new Map<ServiceId, Ms>();

  table: RouteTable | undefined;

  constructor(private readonly options: OrderDeskOptions) {
    this.budget = new LoadBudget(options.loadWindowMs, options.loadOvershoot);
    this.adapters = new AdapterDesk(options, this.book, this.placeNews);
  }

  /** This process has the right to give orders; an earlier one's orders and loads count as well. */
  took(isFirst: boolean): void {
    for (const track of this.tracks.values()) track.orderCount = isFirst ? 0 : undefined;
    if (isFirst) return;
    for (const { engine } of this.table?.services.values() ?? []) {
      if (engine) this.budget.tookOver(engine.loadsPerSecond, this.options.clock.nowMs());
    }
  }

  upstream(info: Upstream): void {
    const nowMs = this.options.clock.nowMs();
    let track = this.tracks.get(info.id);
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
    adoptList(track, info.models, nowMs);
  }

  upstreamGone(id: UpstreamId): void {
    this.tracks.delete(id);
  }

  /** Whether the list's next word is waited for. */
  isMoving(): boolean {
    return this.moving > 0;
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
    if (!turn.mayOrder()) return;
    this.adapters.tick();
    for (const { id, engine } of this.table?.services.values() ?? []) {
      if (engine) this.plan(id, engine, nowMs);
    }
  }

  /** Makes an upstream ready for a need, if that is a matter of milliseconds; else says when to ask again. */
  async find(need: Need): Promise<FoundNeed> {
    const { turn, clock } = this.options;
    if (!turn.isHolder()) return { type: 'not-holder' };
    const { service, model, adapter } = need;
    const engine = this.table?.services.get(service)?.engine;
    if (model === undefined || !engine) return this.later(need);
    const holders = this.holders(service, model);
    if (holders.length === 0) return this.later(need);
    if (adapter === undefined) return { type: 'ready', upstream: holders[0]!.info.id };
    this.book.used(model, adapter, clock.nowMs());
    const having = holders.find((track) => track.models.get(model)!.adapters.has(adapter));
    if (!having && !turn.mayOrder()) return this.later(need);
    return this.patient(
      this.adapters.bring(() => this.holders(service, model), engine, model, adapter),
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

  /** Plans at once for a model that nobody holds, so that the answer can say when it will be there. */
  private later({ service, model }: Need): FoundNeed {
    const nowMs = this.options.clock.nowMs();
    const key = `${service}/${model}`;
    const engine = this.table?.services.get(service)?.engine;
    if (model !== undefined && engine && !this.expected.has(key) && this.options.turn.mayOrder()) {
      this.book.wanted(service, model, nowMs);
      this.plan(service, engine, nowMs);
    }
    const expectedAtMs = this.expected.get(key);
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

  private plan(service: ServiceId, engine: Engine, nowMs: Ms): void {
    if (nowMs < (this.nextPlanAtMs.get(service) ?? -Infinity)) return;
    const room = MOST_MOVES - this.moving;
    const isDemandKnown = this.book.isDemandKnown(nowMs);
    const isSettled = isDemandKnown || nowMs >= this.newestAtMs + SETTLE_MS;
    if (room <= 0 || !isSettled) return;
    const upstreams: PlanUpstream[] = [];
    for (const track of this.tracks.values()) {
      if (track.info.service !== service || track.info.isLeaving) continue;
      if (this.isLost(track)) continue;
      upstreams.push(this.planUpstream(track, nowMs));
    }
    const coldLoadsLeft = this.budget.left(engine.loadsPerSecond, nowMs);
    const demand = this.book.of(service, nowMs, (model) => this.holders(service, model).length > 0);
    const promptsPerPause = this.options.promptsPerPause(service);
    const input = { engine, upstreams, demand, isDemandKnown, coldLoadsLeft, promptsPerPause };
    const moves = planMoves(input, Math.min(room, MOST_MOVES_A_PLAN));
    const tookMs = this.options.clock.nowMs() - nowMs;
    this.nextPlanAtMs.set(service, nowMs + Math.max(PLAN_EVERY_MS, tookMs / MOST_PLAN_SHARE));
    for (const move of moves) {
      const track = this.tracks.get(move.upstream);
      if (track) void this.move(track, service, move, demand);
    }
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
      placed,
      isBusy: isMoving || restUntilMs > nowMs,
      warm: info.warm,
      onDisk: info.onDisk,
      load: this.options.loadOf(info.id),
    };
  }

  /** Makes room, then loads. What does not come off is left to the next plan. */
  private async move(
    track: Track,
    service: ServiceId,
    move: Move,
    demand: ReadonlyMap<ModelId, ModelDemand>,
  ): Promise<void> {
    const { clock, log } = this.options;
    const mark = track;
    const { model, evicted, loadMs, isFromStore, gain, cost } = move;
    mark.isMoving = true;
    if (track.orderCount === undefined) {
      await inTurn(track, () => refresh(this.options, track));
      mark.isMoving = false;
      return;
    }
    // Known as coming from now on, so that no other place is sought for it while room is made.
    track.models.set(model, { phase: 'loading', sinceMs: clock.nowMs(), adapters: new Set() });
    this.moving += 1;
    const key = `${service}/${model}`;
    const startedAtMs = clock.nowMs();
    const begins = isFromStore ? this.budget.reserve() : () => {};
    const isInUse = evicted.some((victim) => (demand.get(victim)?.concurrency ?? 0) >= 1);
    const unloadMs = isInUse ? UNLOAD_MS : LOOK_MS * 2;
    this.expected.set(key, startedAtMs + (evicted.length > 0 ? unloadMs : 0) + loadMs);
    const why = demand.get(model);
    log.info('move begun', {
      upstream: move.upstream,
      service,
      model,
      evicted,
      isFromStore,
      gain,
      cost,
      demand: why,
    });
    const end = await this.carryOut(track, move, () => {
      begins(clock.nowMs());
      this.expected.set(key, clock.nowMs() + loadMs);
    });
    // One that was not ordered any more counts as if it began now.
    if (end.startsWith('unload-')) begins(clock.nowMs());
    if (end !== 'done' && track.models.get(model)?.phase === 'loading') track.models.delete(model);
    this.expected.delete(key);
    this.moving -= 1;
    mark.isMoving = false;
    const tookMs = Math.round(clock.nowMs() - startedAtMs);
    this.options.metrics.count('direct.move', 1, { end });
    log.info('move ended', { upstream: move.upstream, model, end, tookMs });
  }

  private async carryOut(
    track: Track,
    { model, evicted, loadMs }: Move,
    begins: () => void,
  ): Promise<string> {
    for (const victim of evicted) {
      const held = track.models.get(victim);
      if (held) {
        held.phase = 'unloading';
        this.placeNews.add({ upstream: track.info.id, model: victim, isThere: false });
        const outcome = await inTurn(track, () =>
          sendOrder(this.options, track, { action: 'unload', model: victim }),
        );
        if (outcome !== 'accepted' && outcome !== 'done') {
          const still = track.models.get(victim);
          if (still) still.phase = 'ready';
          return `unload-${outcome}`;
        }
        const isGone = await this.until(track, () => !track.models.has(victim), UNLOAD_MS);
        if (!isGone) {
          held.phase = 'ready';
          return 'unload-overdue';
        }
      }
    }
    const outcome = await inTurn(track, () => {
      begins();
      return sendOrder(this.options, track, { action: 'load', model });
    });
    if (outcome !== 'accepted' && outcome !== 'done') {
      return `load-${outcome}`;
    }
    const isThere = () => track.models.get(model)?.phase === 'ready';
    return (await this.until(track, isThere, loadMs)) ? 'done' : 'load-overdue';
  }

  /** Waits for the list to tell of something; while the list is silent the upstream itself is asked. */
  private async until(track: Track, isTrue: () => boolean, expectedMs: Ms): Promise<boolean> {
    const { clock, listSilentMs } = this.options;
    const startedAtMs = clock.nowMs();
    const lastMs = startedAtMs + expectedMs + OVERDUE_MS;
    let askAtMs = startedAtMs + expectedMs + OVERDUE_MS / 2;
    while (clock.nowMs() < lastMs && this.tracks.get(track.info.id) === track) {
      if (isTrue()) return true;
      await this.pause(LOOK_MS);
      const nowMs = clock.nowMs();
      const isSilent = listSilentMs() > 0 && nowMs > startedAtMs + expectedMs / 2;
      if (nowMs < askAtMs && !isSilent) continue;
      askAtMs = nowMs + ASK_EVERY_MS;
      await inTurn(track, () => refresh(this.options, track));
    }
    return isTrue();
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.after(ms, resolve);
    });
  }
}
