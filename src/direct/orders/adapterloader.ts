import type { ModelId, Ms } from '../../base/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';
import type { ServiceSpec } from '../../core/routetable/index.js';
import type { DemandEstimator } from './demandestimator.js';
import type { FindAnswer } from './findanswer.js';
import { enqueue } from './enqueue.js';
import { hasRoom } from './hasroom.js';
import type { OrderContext } from './ordercontext.js';
import type { ResidencyChanges } from './residencychanges.js';
import { refresh } from './refresh.js';
import { sendOrder } from './sendorder.js';
import type { UpstreamView } from './upstreamview.js';

type Engine = NonNullable<ServiceSpec['engine']>;

/** An adapter in an upstream's memory, and when it was last requested. */
interface LoadedAdapter {
  readonly model: ModelId;
  readonly adapter: string;
  readonly usedAtMs: Ms;
}

/** An adapter that was requested while no upstream had it, and the upstreams that have its model now. */
interface AdapterRequest {
  readonly model: ModelId;
  readonly adapter: string;
  readonly engine: Engine;
  readonly replicas: () => readonly UpstreamView[];
  readonly sinceMs: Ms;
  lastMs: Ms;
}

/** How long an adapter takes to load once its order was accepted, in ms; the slowest load observed took 9.7. */
const ADAPTER_LOAD_MS = 14;
/** Bound on concurrent adapter loads at one upstream; the engine itself accepts 4. */
const MAX_ARRIVING = 3;
/** Ranks upstreams with a free adapter slot before full ones, whose cost is a time in ms since process start. */
const FREE_SLOT_BONUS = 1e9;
/**
 * An adapter that is being unloaded after its last run gets no second unload order for this long: by then the list
 * shows the unload.
 */
const UNLOAD_LIST_LAG_MS = 2500;
/** Answer if no adapter slot is free: most runs that use adapters end within its time, in ms. */
const NO_FREE_SLOT: FindAnswer = { type: 'later', inMs: 300, isUnderWay: true };
/**
 * A request that has waited this long may evict an adapter that is in use. An engine that waits for an adapter's
 * last run accepts no other order meanwhile: evicting adapters in use right away blocked it for 0.5 s each time.
 */
const STARVATION_MS = 800;
/**
 * A new adapter is not evicted for this long: the requests that waited for it have yet to be sent, and an engine
 * reports the unload of an adapter that is still loading as done, so that a slot counted as free was occupied.
 */
const MIN_RESIDENCE_MS = 500;
/** Pause after an unload that waits for the adapter's last run: the engine accepts no order; most runs end sooner. */
const UNLOAD_REST_MS = 150;
/** A request that was not repeated for this long has ended: its callers have not retried. */
const REQUEST_EXPIRY_MS = 1500;

function adapterCount({ models }: UpstreamView): number {
  let count = 0;
  for (const { adapters } of models.values()) count += adapters.size;
  return count;
}

/** Loads adapters at upstreams that have their model, and selects the adapters to evict. */
export class AdapterLoader {
  private readonly requests = new Map<string, AdapterRequest>();

  private readonly loading = new Map<string, Promise<FindAnswer>>();

  constructor(
    private readonly context: OrderContext,
    private readonly book: DemandEstimator,
    private readonly news: ResidencyChanges,
  ) {}

  /** Loads an adapter unless an upstream has it. Concurrent requests for the same adapter share one order. */
  ensureLoaded(
    replicas: () => readonly UpstreamView[],
    engine: Engine,
    model: ModelId,
    adapter: string,
    origin?: StreamOrigin,
  ): Promise<FindAnswer> {
    // Streams of other software may not share the order: an upstream that serves one cannot serve the other.
    const key = `${model}/${adapter}${origin ? `@${origin.softwareVersion}` : ''}`;
    const known = this.loading.get(key);
    if (known) return known;
    const loaded = replicas().find((view) => view.models.get(model)?.adapters.has(adapter));
    if (loaded) return Promise.resolve({ type: 'ready', upstream: loaded.info.id });
    const nowMs = this.context.clock.nowMs();
    const before = this.requests.get(key);
    const request = before ?? { model, adapter, engine, replicas, sinceMs: nowMs, lastMs: nowMs };
    request.lastMs = nowMs;
    this.requests.set(key, request);
    return this.startLoad(key, request);
  }

  /**
   * Retries adapters that found no free slot, so that callers find them loaded when they retry. Called several
   * times a second.
   */
  tick(): void {
    const nowMs = this.context.clock.nowMs();
    for (const [key, request] of this.requests) {
      if (nowMs - request.lastMs > REQUEST_EXPIRY_MS) this.requests.delete(key);
      else if (!this.loading.has(key)) void this.startLoad(key, request);
    }
  }

  private startLoad(key: string, request: AdapterRequest): Promise<FindAnswer> {
    const loading = this.loadAdapter(request)
      .then((found) => {
        if (found.type === 'ready') this.requests.delete(key);
        return found;
      })
      .finally(() => this.loading.delete(key));
    this.loading.set(key, loading);
    return loading;
  }

  private async loadAdapter(request: AdapterRequest): Promise<FindAnswer> {
    const nowMs = this.context.clock.nowMs();
    const isStarved = nowMs - request.sinceMs > STARVATION_MS;
    // An upstream that loads a model accepts no other order meanwhile.
    const eligible = request
      .replicas()
      .filter((candidate) => candidate.restUntilMs <= nowMs && !candidate.isMoving);
    const view = this.cheapest(eligible, request, isStarved);
    if (!view) return NO_FREE_SLOT;
    view.coming += 1;
    const found = await enqueue(view, () => this.load(view, request, isStarved));
    view.coming -= 1;
    // Other orders continue meanwhile: only the request for this adapter has to wait until it is loaded.
    if (found.type === 'ready' && view.arrivingAdapters > 0) await this.delay(ADAPTER_LOAD_MS);
    return found;
  }

  private async load(
    view: UpstreamView,
    request: AdapterRequest,
    isStarved: boolean,
  ): Promise<FindAnswer> {
    const { clock } = this.context;
    const { model, adapter, engine } = request;
    if (view.orderCount === undefined && view.restUntilMs <= clock.nowMs()) {
      await refresh(this.context, view);
    }
    const held = view.models.get(model);
    if (held?.phase !== 'ready') return NO_FREE_SLOT;
    const ready: FindAnswer = { type: 'ready', upstream: view.info.id };
    if (held.adapters.has(adapter)) return ready;
    const isFull = !hasRoom(view, engine, request);
    if (isFull && !(await this.makeRoom(view, isStarved))) return NO_FREE_SLOT;
    if (view.arrivingAdapters >= MAX_ARRIVING) await this.delay(ADAPTER_LOAD_MS);
    const outcome = await sendOrder(this.context, view, { action: 'load', model, adapter });
    if (outcome !== 'accepted' && outcome !== 'done') return NO_FREE_SLOT;
    this.recordChange(view, model, adapter, true);
    const change = { upstream: view.info.id, model, adapter, isThere: true };
    if (outcome === 'accepted') this.arrive(view, () => this.news.add(change));
    else this.news.add(change);
    return ready;
  }

  private arrive(view: UpstreamView, arrived: () => void): void {
    const target = view;
    target.arrivingAdapters += 1;
    this.context.clock.after(ADAPTER_LOAD_MS, () => {
      target.arrivingAdapters -= 1;
      arrived();
    });
  }

  /** Returns the upstream with the most free adapter slots, or else the one with the least recently used victim. */
  private cheapest(
    candidates: readonly UpstreamView[],
    { engine, model, adapter }: AdapterRequest,
    isStarved: boolean,
  ): UpstreamView | undefined {
    let best: UpstreamView | undefined;
    let bestCost = Infinity;
    for (const view of candidates) {
      const count = adapterCount(view) + view.coming;
      const isFull = count >= engine.adapterSlots || !hasRoom(view, engine, { model, adapter });
      const victim = isFull ? this.victim(view, isStarved) : undefined;
      const cost = isFull ? (victim?.usedAtMs ?? Infinity) : count - FREE_SLOT_BONUS;
      if (cost >= bestCost) continue;
      best = view;
      bestCost = cost;
    }
    return best;
  }

  /** Returns the least recently requested adapter; adapters in use only if the request starves. */
  private victim(view: UpstreamView, isStarved: boolean): LoadedAdapter | undefined {
    const nowMs = this.context.clock.nowMs();
    // At most one adapter in use is evicted at a time: its unload keeps the engine from accepting other orders.
    if (isStarved && view.unloadingAdapters.size > 0) return undefined;
    let oldest: LoadedAdapter | undefined;
    for (const [model, { adapters }] of view.models) {
      for (const adapter of adapters) {
        const key = `${model}/${adapter}`;
        const changedAtMs = view.done.get(key)?.atMs ?? -Infinity;
        if (view.unloadingAdapters.has(key) || nowMs - changedAtMs < MIN_RESIDENCE_MS) continue;
        if (!isStarved && this.book.isAdapterBusy(model, adapter, nowMs)) continue;
        const usedAtMs = this.book.adapterUsedAtMs(model, adapter);
        if (!oldest || usedAtMs < oldest.usedAtMs) oldest = { model, adapter, usedAtMs };
      }
    }
    return oldest;
  }

  private async makeRoom(view: UpstreamView, isStarved: boolean): Promise<boolean> {
    const victim = this.victim(view, isStarved);
    if (!victim) return false;
    const { model, adapter } = victim;
    const outcome = await sendOrder(this.context, view, { action: 'unload', model, adapter });
    if (outcome === 'accepted') {
      // The adapter is unloaded once its runs have ended, and occupies its slot until then.
      const key = `${model}/${adapter}`;
      view.unloadingAdapters.add(key);
      const { clock } = this.context;
      clock.after(UNLOAD_LIST_LAG_MS, () => view.unloadingAdapters.delete(key));
      Object.assign(view, { restUntilMs: clock.nowMs() + UNLOAD_REST_MS });
      this.news.add({ upstream: view.info.id, model, adapter, isThere: false });
    }
    if (outcome !== 'done') return false;
    this.recordChange(view, model, adapter, false);
    this.news.add({ upstream: view.info.id, model, adapter, isThere: false });
    return true;
  }

  private recordChange(
    view: UpstreamView,
    model: ModelId,
    adapter: string,
    isThere: boolean,
  ): void {
    view.done.set(`${model}/${adapter}`, { isThere, atMs: this.context.clock.nowMs() });
    const adapters = view.models.get(model)?.adapters;
    if (isThere) adapters?.add(adapter);
    else adapters?.delete(adapter);
  }

  private delay(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.context.clock.after(ms, resolve);
    });
  }
}
