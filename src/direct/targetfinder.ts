import type { Clock, Ms } from '../base/index.js';
import { holdOrRefuse } from '../core/residencywait/index.js';
import type { Log } from '../port/index.js';
import type { DemandMeter, FindAnswer } from './orders/index.js';
import { has, mayServe, type Fleet, type Target, type UpstreamState } from './route/index.js';
import type { Serving } from './serving.js';
import type { TargetWaiter } from './targetwaiter.js';

type TargetResult = Awaited<ReturnType<Serving['waitForTarget']>>;

/** Options of a target finder. */
interface TargetFinderOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly fleet: Fleet;
  readonly meter: DemandMeter;
  /** Asks the order lease holder; undefined if it cannot be reached. */
  ask(target: Target): Promise<FindAnswer | undefined>;
  /** How long until another process may send orders if the holder cannot be reached. */
  ordersInMs(): Ms;
}

/** Duration of a plan and a load from disk, once there is an order lease holder. */
const UNPLANNED_MS = 900;
const POLL_MS = 25;
/**
 * How long an answer other than "ready", or its absence, is reused for requests with the same target. When the holder
 * was asked for each request, one with an eighth of a core left 317 of 1,400 requests unanswered, and callers were
 * refused after 409 ms (80th percentile) instead of at once.
 */
const REUSE_MS = 150;

/** An answer of the holder other than "ready"; `found` is undefined if it did not answer. */
interface RecentAnswer {
  readonly found: FindAnswer | undefined;
  readonly atMs: Ms;
}

/** Returns an earlier answer with its remaining time. */
function updated({ found, atMs }: RecentAnswer, nowMs: Ms): FindAnswer | undefined {
  if (found?.type !== 'later') return found;
  return { ...found, inMs: Math.max(POLL_MS, found.inMs - (nowMs - atMs)) };
}

/** Finds upstreams for requests whose model or adapter is loaded nowhere as far as this entry knows. */
export class TargetFinder {
  private readonly pending = new Map<string, Promise<FindAnswer | undefined>>();

  private readonly recent = new Map<string, RecentAnswer>();

  constructor(private readonly options: TargetFinderOptions) {}

  async waitForTarget(target: Target, waiter: TargetWaiter): Promise<TargetResult> {
    const { clock, meter } = this.options;
    if (target.model === undefined && !target.origin) {
      const detail = `No upstream of ${target.service} can be chosen.`;
      return { type: 'unavailable', reason: 'no-upstream', detail };
    }
    meter.waiting(target, 1);
    const result = await this.wait(target, waiter, clock.nowMs());
    meter.waiting(target, -1);
    return result;
  }

  private async wait(target: Target, waiter: TargetWaiter, startedAtMs: Ms): Promise<TargetResult> {
    const { clock } = this.options;
    let unplannedFromMs = startedAtMs - (waiter.unplannedMs ?? 0);
    for (;;) {
      const found = await this.ask(target);
      if (this.isReady(target, found)) return this.ready(unplannedFromMs);
      const end = this.endOf(target, waiter);
      if (end) return end;
      const inMs = found?.type === 'later' ? found.inMs : this.options.ordersInMs() + UNPLANNED_MS;
      const passedMs = clock.nowMs() - startedAtMs;
      const heldMs = waiter.heldMs + passedMs;
      const remainingMs = waiter.remainingMs - passedMs;
      const isUnderWay = found?.type === 'later' && found.isUnderWay;
      // The holder's word holds until the load should be done.
      if (found?.type === 'later') unplannedFromMs = clock.nowMs() + inMs;
      const unplannedMs = this.since(unplannedFromMs);
      const times = { inMs, heldMs, remainingMs, unplannedMs };
      const decision = holdOrRefuse({ ...waiter, ...times, isUnderWay });
      if (decision.type === 'refuse') {
        const detail = `No upstream of ${target.service} holds what the request needs yet.`;
        const { retryAfterMs } = decision;
        return { type: 'unavailable', reason: 'not-resident', detail, retryAfterMs };
      }
      const untilMs = clock.nowMs() + inMs;
      // Waits at least once, even if no time is left, because the loop must not block the event loop.
      do await this.pause(POLL_MS);
      while (clock.nowMs() < untilMs && !this.isLoaded(target) && !this.endOf(target, waiter));
      if (this.isLoaded(target)) return this.ready(unplannedFromMs);
    }
  }

  private since(atMs: Ms): Ms {
    return Math.max(0, this.options.clock.nowMs() - atMs);
  }

  private ready(unplannedFromMs: Ms): TargetResult {
    return { type: 'ready', unplannedMs: this.since(unplannedFromMs) };
  }

  /** Returns why a wait is of no use any more; undefined if it may be. */
  private endOf({ origin }: Target, { isOver }: TargetWaiter): TargetResult | undefined {
    if (isOver?.()) {
      return { type: 'unavailable', reason: 'gone', detail: 'Nobody waits for the answer.' };
    }
    if (!origin || this.options.fleet.mayContinue(origin)) return undefined;
    const detail = 'No upstream runs the software version that the stream began with.';
    return { type: 'unavailable', reason: 'stream-version-gone', detail };
  }

  private isReady(target: Target, found: FindAnswer | undefined): boolean {
    if (found?.type === 'ready') {
      const state = this.options.fleet.get(found.upstream);
      if (state && this.isUsable(state, target) && mayServe(state, target)) {
        this.options.fleet.hint(state, target, true, this.options.clock.nowMs());
        return true;
      }
    }
    return this.isLoaded(target);
  }

  private isLoaded(target: Target): boolean {
    const { fleet, clock } = this.options;
    const nowMs = clock.nowMs();
    for (const state of fleet.upstreamsOf(target.service)) {
      if (this.isUsable(state, target) && has(state, target, nowMs)) return true;
    }
    return false;
  }

  /** A stream waits until an upstream that counts as lost may be tried again, or for a load elsewhere. */
  private isUsable(state: UpstreamState, { origin }: Target): boolean {
    const { fleet, clock } = this.options;
    return !state.info.isLeaving && !(origin && fleet.isLost(state, clock.nowMs()));
  }

  /**
   * Asks the order lease holder. Requests with the same target share a call and reuse a recent answer. It knows nothing
   * of streams without a model, which wait for an upstream that this entry can reach.
   */
  private ask(target: Target): Promise<FindAnswer | undefined> {
    const { service, model, adapter = '', origin } = target;
    if (model === undefined) return Promise.resolve(undefined);
    const versions = origin ? `/${origin.softwareVersion}/${origin.weightsVersion}` : '';
    const key = `${service}/${model}/${adapter}${versions}`;
    const known = this.pending.get(key);
    if (known) return known;
    const nowMs = this.options.clock.nowMs();
    const recent = this.recent.get(key);
    if (recent && nowMs - recent.atMs < REUSE_MS) return Promise.resolve(updated(recent, nowMs));
    const asking = this.options.ask(target).finally(() => this.pending.delete(key));
    this.pending.set(key, asking);
    void asking.then((found) => this.remember(key, found));
    return asking;
  }

  private remember(key: string, found: FindAnswer | undefined): void {
    const nowMs = this.options.clock.nowMs();
    for (const [other, { atMs }] of this.recent) {
      if (nowMs - atMs >= REUSE_MS) this.recent.delete(other);
    }
    if (found?.type !== 'ready') this.recent.set(key, { found, atMs: nowMs });
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.after(ms, resolve);
    });
  }
}
