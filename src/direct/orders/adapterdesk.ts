import type { ModelId, Ms } from '../../base/index.js';
import type { ServiceSpec } from '../../core/routetable/index.js';
import type { DemandBook } from './demandbook.js';
import type { FoundNeed } from './foundneed.js';
import { inTurn } from './inturn.js';
import type { OrderTools } from './ordertools.js';
import type { PlaceNews } from './placenews.js';
import { refresh } from './refresh.js';
import { sendOrder } from './sendorder.js';
import type { Track } from './track.js';

type Engine = NonNullable<ServiceSpec['engine']>;

/** An adapter at an upstream, and when it was last asked for. */
interface HeldAdapter {
  readonly model: ModelId;
  readonly adapter: string;
  readonly usedAtMs: Ms;
}

/** One adapter that has been asked for in vain, and those who hold its model now. */
interface Want {
  readonly model: ModelId;
  readonly adapter: string;
  readonly engine: Engine;
  readonly holders: () => readonly Track[];
  readonly sinceMs: Ms;
  lastMs: Ms;
}

/** How long an adapter is on its way after its order was taken; the slowest seen took 9.7. */
const ADAPTER_MS = 14;
/** Adapters that may be on their way to one upstream at a time; the engine itself takes 4. */
const MOST_ON_THEIR_WAY = 3;
/** Puts upstreams with room before those without, whose cost is a time in ms since the process began. */
const FULL_COUNT = 1e9;
/** How long an adapter that goes with its last run is not asked to go again; the list tells within it. */
const GOING_MS = 2500;
/** When an adapter that found no place should have one, in ms: most runs that use adapters end sooner. */
const WANTED: FoundNeed = { type: 'later', inMs: 300, isUnderWay: true };
/**
 * After this long in vain an adapter that is in use has to make room. An engine that waits for the last run of
 * one takes no other order meanwhile: with adapters in use taken first, it stood still for 0.5 s each time.
 */
const STARVED_MS = 800;
/**
 * One that has just come stays this long: those who waited for it have yet to be sent, and an engine takes the
 * unload of one that is still on its way as done, so that it took a place that counted as free.
 */
const LEAST_STAY_MS = 500;
/** An engine that waits for the last run of an adapter takes no order; most end within this, in ms. */
const GOING_REST_MS = 150;
/** A want that was not repeated for this long has ended: its callers have not come back. */
const FORGET_WANT_MS = 1500;

function countOf({ models }: Track): number {
  let count = 0;
  for (const { adapters } of models.values()) count += adapters.size;
  return count;
}

/** Brings adapters to upstreams that hold their model, and decides which others make room. */
export class AdapterDesk {
  private readonly wants = new Map<string, Want>();

  private readonly bringing = new Map<string, Promise<FoundNeed>>();

  constructor(
    private readonly tools: OrderTools,
    private readonly book: DemandBook,
    private readonly news: PlaceNews,
  ) {}

  /** Entries that ask for the same adapter at the same time wait for one order. */
  bring(
    holders: () => readonly Track[],
    engine: Engine,
    model: ModelId,
    adapter: string,
  ): Promise<FoundNeed> {
    const key = `${model}/${adapter}`;
    const known = this.bringing.get(key);
    if (known) return known;
    const having = holders().find((track) => track.models.get(model)?.adapters.has(adapter));
    if (having) return Promise.resolve({ type: 'ready', upstream: having.info.id });
    const nowMs = this.tools.clock.nowMs();
    const before = this.wants.get(key);
    const want = before ?? { model, adapter, engine, holders, sinceMs: nowMs, lastMs: nowMs };
    want.lastMs = nowMs;
    this.wants.set(key, want);
    return this.fulfil(key, want);
  }

  /**
   * Goes on for adapters that found no place: whoever was told to come back finds them there. To be called
   * several times a second.
   */
  tick(): void {
    const nowMs = this.tools.clock.nowMs();
    for (const [key, want] of this.wants) {
      if (nowMs - want.lastMs > FORGET_WANT_MS) this.wants.delete(key);
      else if (!this.bringing.has(key)) void this.fulfil(key, want);
    }
  }

  private fulfil(key: string, want: Want): Promise<FoundNeed> {
    const bringing = this.bringOne(want)
      .then((found) => {
        if (found.type === 'ready') this.wants.delete(key);
        return found;
      })
      .finally(() => this.bringing.delete(key));
    this.bringing.set(key, bringing);
    return bringing;
  }

  private async bringOne(want: Want): Promise<FoundNeed> {
    const nowMs = this.tools.clock.nowMs();
    const isStarved = nowMs - want.sinceMs > STARVED_MS;
    // An upstream that loads a model takes no other order meanwhile.
    const able = want.holders().filter((one) => one.restUntilMs <= nowMs && !one.isMoving);
    const track = this.leastMissed(able, want.engine, isStarved);
    if (!track) return WANTED;
    track.coming += 1;
    const found = await inTurn(track, () => this.load(track, want, isStarved));
    track.coming -= 1;
    // Other orders go on meanwhile: only the request that wants this one has to wait until it is there.
    if (found.type === 'ready' && track.arriving > 0) await this.pause(ADAPTER_MS);
    return found;
  }

  private async load(track: Track, want: Want, isStarved: boolean): Promise<FoundNeed> {
    const { clock } = this.tools;
    const { model, adapter, engine } = want;
    if (track.orderCount === undefined && track.restUntilMs <= clock.nowMs()) {
      await refresh(this.tools, track);
    }
    const held = track.models.get(model);
    if (held?.phase !== 'ready') return WANTED;
    const ready: FoundNeed = { type: 'ready', upstream: track.info.id };
    if (held.adapters.has(adapter)) return ready;
    const isFull = countOf(track) >= engine.adapterSlots;
    if (isFull && !(await this.makeRoom(track, isStarved))) return WANTED;
    if (track.arriving >= MOST_ON_THEIR_WAY) await this.pause(ADAPTER_MS);
    const outcome = await sendOrder(this.tools, track, { action: 'load', model, adapter });
    if (outcome !== 'accepted' && outcome !== 'done') return WANTED;
    this.note(track, model, adapter, true);
    const told = { upstream: track.info.id, model, adapter, isThere: true };
    if (outcome === 'accepted') this.arrive(track, () => this.news.add(told));
    else this.news.add(told);
    return ready;
  }

  private arrive(track: Track, arrived: () => void): void {
    const mark = track;
    mark.arriving += 1;
    this.tools.clock.after(ADAPTER_MS, () => {
      mark.arriving -= 1;
      arrived();
    });
  }

  /** The upstream with the most room for an adapter, or else the one whose victim is missed least. */
  private leastMissed(
    tracks: readonly Track[],
    engine: Engine,
    isStarved: boolean,
  ): Track | undefined {
    let best: Track | undefined;
    let bestCost = Infinity;
    for (const track of tracks) {
      const count = countOf(track) + track.coming;
      const isFull = count >= engine.adapterSlots;
      const victim = isFull ? this.victim(track, isStarved) : undefined;
      const cost = isFull ? (victim?.usedAtMs ?? Infinity) : count - FULL_COUNT;
      if (cost >= bestCost) continue;
      best = track;
      bestCost = cost;
    }
    return best;
  }

  /** The adapter that was asked for longest ago, of those that no request uses unless one starves. */
  private victim(track: Track, isStarved: boolean): HeldAdapter | undefined {
    const nowMs = this.tools.clock.nowMs();
    // One at a time is made to go: it keeps the engine from taking other orders.
    if (isStarved && track.going.size > 0) return undefined;
    let oldest: HeldAdapter | undefined;
    for (const [model, { adapters }] of track.models) {
      for (const adapter of adapters) {
        const key = `${model}/${adapter}`;
        const doneAtMs = track.done.get(key)?.atMs ?? -Infinity;
        if (track.going.has(key) || nowMs - doneAtMs < LEAST_STAY_MS) continue;
        if (!isStarved && this.book.isAdapterBusy(model, adapter, nowMs)) continue;
        const usedAtMs = this.book.adapterUsedAtMs(model, adapter);
        if (!oldest || usedAtMs < oldest.usedAtMs) oldest = { model, adapter, usedAtMs };
      }
    }
    return oldest;
  }

  private async makeRoom(track: Track, isStarved: boolean): Promise<boolean> {
    const victim = this.victim(track, isStarved);
    if (!victim) return false;
    const { model, adapter } = victim;
    const outcome = await sendOrder(this.tools, track, { action: 'unload', model, adapter });
    if (outcome === 'accepted') {
      // It goes once its runs have ended, and takes its place until then.
      const key = `${model}/${adapter}`;
      track.going.add(key);
      const { clock } = this.tools;
      clock.after(GOING_MS, () => track.going.delete(key));
      Object.assign(track, { restUntilMs: clock.nowMs() + GOING_REST_MS });
      this.news.add({ upstream: track.info.id, model, adapter, isThere: false });
    }
    if (outcome !== 'done') return false;
    this.note(track, model, adapter, false);
    this.news.add({ upstream: track.info.id, model, adapter, isThere: false });
    return true;
  }

  private note(track: Track, model: ModelId, adapter: string, isThere: boolean): void {
    track.done.set(`${model}/${adapter}`, { isThere, atMs: this.tools.clock.nowMs() });
    const adapters = track.models.get(model)?.adapters;
    if (isThere) adapters?.add(adapter);
    else adapters?.delete(adapter);
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.tools.clock.after(ms, resolve);
    });
  }
}
