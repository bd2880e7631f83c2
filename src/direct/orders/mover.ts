import type { Clock, ModelId, Ms, ServiceId } from '../../base/index.js';
import type { ModelDemand, Move } from '../../core/allocation/index.js';
import { inTurn } from './inturn.js';
import type { LoadBudget } from './loadbudget.js';
import type { OrderTools } from './ordertools.js';
import type { PlaceNews } from './placenews.js';
import { refresh } from './refresh.js';
import { sendOrder } from './sendorder.js';
import type { Track } from './track.js';

/** Options of a mover. */
interface MoverOptions extends OrderTools {
  readonly budget: LoadBudget;
  readonly news: PlaceNews;
  /** How long the list of upstreams has not been heard of; 0 while it is. */
  readonly listSilentMs: () => Ms;
  /** Whether an upstream is still in the list. */
  readonly isListed: (track: Track) => boolean;
}

/** How often a move looks whether its order is done. */
const LOOK_MS = 25;
/** An order about a model that is not done this long after it should be is looked into. */
const OVERDUE_MS = 2500;
/** How often an upstream is asked whether an order is done, where the list does not tell. */
const ASK_EVERY_MS = 400;
/**
 * While the list is silent an upstream is asked this long after a load should be done, and after an unload was taken:
 * asked from half of a load's time on, 520 questions were spent in 7 s of a cut.
 */
const ASK_LOAD_AFTER_MS = 100;
const ASK_UNLOAD_AFTER_MS = 150;
/** An unload waits for the runs of its model; the longest seen took about this. */
const UNLOAD_MS = 1500;
/** A model whose requests at a time are fewer is unloaded at once. */
const IN_USE_CONCURRENCY = 1;

/** Carries moves out: makes room at an upstream, then loads. What does not come off is left to the next plan. */
export class Mover {
  /** When a model should be there, by service and model. */
  private readonly expected = new Map<string, Ms>();

  private moving = 0;

  private readonly clock: Clock;

  constructor(private readonly options: MoverOptions) {
    this.clock = options.clock;
  }

  /** Whether the list's next word is waited for. */
  isMoving(): boolean {
    return this.moving > 0;
  }

  /** When a model that is on its way should be there. */
  expectedAtMs(service: ServiceId, model: ModelId | undefined): Ms | undefined {
    return this.expected.get(`${service}/${model}`);
  }

  async move(
    track: Track,
    service: ServiceId,
    move: Move,
    demand: ReadonlyMap<ModelId, ModelDemand>,
  ): Promise<void> {
    const { clock } = this;
    const { log, metrics, budget } = this.options;
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
    const begins = isFromStore ? budget.reserve() : () => {};
    this.expected.set(key, startedAtMs + this.roomMs(evicted, demand) + loadMs);
    const why = demand.get(model);
    const subject = { upstream: move.upstream, service, model };
    log.info('move begun', { ...subject, evicted, isFromStore, gain, cost, demand: why });
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
    metrics.count('direct.move', 1, { end });
    log.info('move ended', { ...subject, end, tookMs: Math.round(clock.nowMs() - startedAtMs) });
  }

  private roomMs(evicted: readonly ModelId[], demand: ReadonlyMap<ModelId, ModelDemand>): Ms {
    if (evicted.length === 0) return 0;
    const isInUse = evicted.some(
      (victim) => (demand.get(victim)?.concurrency ?? 0) >= IN_USE_CONCURRENCY,
    );
    return isInUse ? UNLOAD_MS : LOOK_MS * 2;
  }

  private async carryOut(
    track: Track,
    { model, evicted, loadMs }: Move,
    begins: () => void,
  ): Promise<string> {
    for (const victim of evicted) {
      const end = await this.unload(track, victim);
      if (end !== 'done') return end;
    }
    const outcome = await inTurn(track, () => {
      begins();
      return sendOrder(this.options, track, { action: 'load', model });
    });
    if (outcome !== 'accepted' && outcome !== 'done') return `load-${outcome}`;
    const isThere = () => track.models.get(model)?.phase === 'ready';
    const askMs = loadMs + ASK_LOAD_AFTER_MS;
    return (await this.until(track, isThere, loadMs, askMs)) ? 'done' : 'load-overdue';
  }

  private async unload(track: Track, victim: ModelId): Promise<string> {
    const held = track.models.get(victim);
    if (!held) return 'done';
    held.phase = 'unloading';
    this.options.news.add({ upstream: track.info.id, model: victim, isThere: false });
    const outcome = await inTurn(track, () =>
      sendOrder(this.options, track, { action: 'unload', model: victim }),
    );
    if (outcome !== 'accepted' && outcome !== 'done') {
      const still = track.models.get(victim);
      if (still) still.phase = 'ready';
      return `unload-${outcome}`;
    }
    const isGone = () => !track.models.has(victim);
    if (await this.until(track, isGone, UNLOAD_MS, ASK_UNLOAD_AFTER_MS)) return 'done';
    held.phase = 'ready';
    return 'unload-overdue';
  }

  /** Waits for the list to tell of something; while the list is silent the upstream itself is asked. */
  private async until(
    track: Track,
    isTrue: () => boolean,
    expectedMs: Ms,
    askSilentMs: Ms,
  ): Promise<boolean> {
    const { clock } = this;
    const { listSilentMs, isListed } = this.options;
    const startedAtMs = clock.nowMs();
    const lastMs = startedAtMs + expectedMs + OVERDUE_MS;
    let askAtMs = startedAtMs + expectedMs + OVERDUE_MS / 2;
    let silentAskAtMs = startedAtMs + askSilentMs;
    while (clock.nowMs() < lastMs && isListed(track)) {
      if (isTrue()) return true;
      await this.pause(LOOK_MS);
      const nowMs = clock.nowMs();
      if (listSilentMs() > 0) askAtMs = Math.min(askAtMs, silentAskAtMs);
      if (nowMs < askAtMs) continue;
      silentAskAtMs = nowMs + ASK_EVERY_MS;
      askAtMs = nowMs + ASK_EVERY_MS;
      await inTurn(track, () => refresh(this.options, track));
    }
    return isTrue();
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }
}
