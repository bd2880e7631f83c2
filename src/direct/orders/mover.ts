import type { Clock, ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { ModelDemand, Move } from '../../core/allocation/index.js';
import { isContinuable } from '../../core/origin/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Target } from '../route/index.js';
import { enqueue } from './enqueue.js';
import type { LoadBudget } from './loadbudget.js';
import type { OrderContext } from './ordercontext.js';
import type { ResidencyChanges } from './residencychanges.js';
import { refresh } from './refresh.js';
import { sendOrder } from './sendorder.js';
import type { UpstreamView } from './upstreamview.js';

/** Options of a mover. */
interface MoverOptions extends OrderContext {
  readonly budget: LoadBudget;
  readonly news: ResidencyChanges;
  /** How long the list of upstreams has not been readable, in ms; 0 while it is. */
  readonly listSilentMs: () => Ms;
  /** True if an upstream is current in the list. */
  readonly isListed: (view: UpstreamView) => boolean;
}

/** What a move was decided on. */
interface Decision {
  readonly demand: ReadonlyMap<ModelId, ModelDemand>;
  /** Age of the plan's input, in ms. */
  readonly planAgeMs: Ms;
}

/** When a move's model should be loaded, and where. */
interface Expected {
  readonly model: ModelId;
  readonly upstream: Upstream;
  readonly atMs: Ms;
}

/** Called as the load of a move is ordered. */
interface LoadSteps {
  readonly ordered: () => void;
  /** The order was answered or given up: unless it is carried out late, the load has begun. */
  readonly answered: () => void;
}

/** Interval between checks whether an order is done. */
const POLL_MS = 25;
/** A model order that is not done this long after its expected end has failed. */
const OVERDUE_MS = 2500;
/** Interval between reports requested from an upstream while the list does not show an order's effect. */
const REPORT_EVERY_MS = 400;
/**
 * While the list is unreadable an upstream is asked this long after a load should be done, or an unload was accepted:
 * requesting reports from half of the load time on cost 520 requests in an outage of 7 s.
 */
const REPORT_AFTER_LOAD_MS = 100;
const REPORT_AFTER_UNLOAD_MS = 150;
/** An unload waits for its model's runs; the longest observed took about this. */
const UNLOAD_MS = 1500;
/** A model with a lower concurrency is unloaded at once. */
const IN_USE_CONCURRENCY = 1;

/** Carries out moves: evicts models at an upstream, then loads one. Failed moves are left to the next plan. */
export class Mover {
  /** Models that are being moved, by upstream. */
  private readonly expected = new Map<UpstreamId, Expected>();

  private moving = 0;

  private readonly clock: Clock;

  constructor(private readonly options: MoverOptions) {
    this.clock = options.clock;
  }

  /** True while a move waits for the list to show its effect. */
  isMoving(): boolean {
    return this.moving > 0;
  }

  /** Returns when a model that is being moved should be loaded, where the target can use it. */
  expectedAtMs({ service, model, origin }: Target): Ms | undefined {
    let earliestMs: Ms | undefined;
    for (const { model: moved, upstream, atMs } of this.expected.values()) {
      if (moved !== model || upstream.service !== service) continue;
      if (origin && !isContinuable(upstream, origin, model)) continue;
      earliestMs = Math.min(earliestMs ?? Infinity, atMs);
    }
    return earliestMs;
  }

  async move(
    view: UpstreamView,
    service: ServiceId,
    move: Move,
    { demand, planAgeMs }: Decision,
  ): Promise<void> {
    const { clock } = this;
    const { log, metrics, budget } = this.options;
    const target = view;
    const { upstream, model, evicted, loadMs, isFromStore, gain, cost } = move;
    target.isMoving = true;
    if (view.orderCount === undefined) {
      await enqueue(view, () => refresh(this.options, view));
      target.isMoving = false;
      return;
    }
    // The model counts as loading from now on, so that no second replica is planned while room is made.
    view.models.set(model, { phase: 'loading', sinceMs: clock.nowMs(), adapters: new Set() });
    target.plannedModel = model;
    this.moving += 1;
    const startedAtMs = clock.nowMs();
    const startLoad = isFromStore ? budget.reserve() : () => {};
    const expect = (atMs: Ms) => this.expected.set(upstream, { model, upstream: view.info, atMs });
    expect(startedAtMs + this.evictionMs(evicted, demand) + loadMs);
    const modelDemand = demand.get(model);
    const subject = { upstream, service, model };
    const decided = { gain, cost, demand: modelDemand, planAgeMs: Math.round(planAgeMs) };
    log.info('move begun', { ...subject, evicted, isFromStore, ...decided });
    const end = await this.carryOut(view, move, {
      ordered: () => {
        target.plannedModel = undefined;
        expect(clock.nowMs() + loadMs);
      },
      answered: () => startLoad(clock.nowMs()),
    });
    // A reserved load that was never ordered counts as if it started now.
    if (end.startsWith('unload-')) startLoad(clock.nowMs());
    if (end !== 'done' && view.models.get(model)?.phase === 'loading') {
      view.models.delete(model);
      // The upstream has accepted the load, so the view without it does not match the count of orders.
      if (end === 'load-overdue') target.orderCount = undefined;
    }
    this.expected.delete(upstream);
    this.moving -= 1;
    target.isMoving = false;
    target.plannedModel = undefined;
    metrics.count('direct.move', 1, { end });
    log.info('move ended', { ...subject, end, tookMs: Math.round(clock.nowMs() - startedAtMs) });
  }

  private evictionMs(evicted: readonly ModelId[], demand: ReadonlyMap<ModelId, ModelDemand>): Ms {
    if (evicted.length === 0) return 0;
    const isInUse = evicted.some(
      (victim) => (demand.get(victim)?.concurrency ?? 0) >= IN_USE_CONCURRENCY,
    );
    return isInUse ? UNLOAD_MS : POLL_MS * 2;
  }

  private async carryOut(
    view: UpstreamView,
    { model, evicted, loadMs }: Move,
    load: LoadSteps,
  ): Promise<string> {
    for (const victim of evicted) {
      const end = await this.unload(view, victim);
      if (end !== 'done') return end;
    }
    const outcome = await enqueue(view, () => {
      load.ordered();
      return sendOrder(this.options, view, { action: 'load', model });
    });
    load.answered();
    if (outcome !== 'accepted' && outcome !== 'done') return `load-${outcome}`;
    const isThere = () => view.models.get(model)?.phase === 'ready';
    const reportAfterMs = loadMs + REPORT_AFTER_LOAD_MS;
    return (await this.until(view, isThere, loadMs, reportAfterMs)) ? 'done' : 'load-overdue';
  }

  private async unload(view: UpstreamView, victim: ModelId): Promise<string> {
    const held = view.models.get(victim);
    if (!held) return 'done';
    held.phase = 'unloading';
    this.options.news.add({ upstream: view.info.id, model: victim, isThere: false });
    const outcome = await enqueue(view, () =>
      sendOrder(this.options, view, { action: 'unload', model: victim }),
    );
    if (outcome !== 'accepted' && outcome !== 'done') {
      const current = view.models.get(victim);
      if (current) current.phase = 'ready';
      return `unload-${outcome}`;
    }
    const isGone = () => !view.models.has(victim);
    if (await this.until(view, isGone, UNLOAD_MS, REPORT_AFTER_UNLOAD_MS)) {
      this.forgetAdapters(view, victim);
      return 'done';
    }
    held.phase = 'ready';
    return 'unload-overdue';
  }

  /** Forgets own adapter orders for a model that was unloaded: if it is loaded again, it has none of its adapters. */
  private forgetAdapters({ done, unloadingAdapters }: UpstreamView, model: ModelId): void {
    const prefix = `${model}/`;
    for (const key of [...done.keys(), ...unloadingAdapters]) {
      if (!key.startsWith(prefix)) continue;
      done.delete(key);
      unloadingAdapters.delete(key);
    }
  }

  /**
   * Waits until a condition holds according to the list; while the list is unreadable, requests the upstream's own
   * report.
   */
  private async until(
    view: UpstreamView,
    isTrue: () => boolean,
    expectedMs: Ms,
    silentReportAfterMs: Ms,
  ): Promise<boolean> {
    const { clock } = this;
    const { listSilentMs, isListed } = this.options;
    const startedAtMs = clock.nowMs();
    const deadlineMs = startedAtMs + expectedMs + OVERDUE_MS;
    let reportAtMs = startedAtMs + expectedMs + OVERDUE_MS / 2;
    let silentReportAtMs = startedAtMs + silentReportAfterMs;
    while (clock.nowMs() < deadlineMs && isListed(view)) {
      if (isTrue()) return true;
      await this.delay(POLL_MS);
      const nowMs = clock.nowMs();
      if (listSilentMs() > 0) reportAtMs = Math.min(reportAtMs, silentReportAtMs);
      if (nowMs < reportAtMs) continue;
      silentReportAtMs = nowMs + REPORT_EVERY_MS;
      reportAtMs = nowMs + REPORT_EVERY_MS;
      await enqueue(view, () => refresh(this.options, view));
    }
    return isTrue();
  }

  private delay(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }
}
