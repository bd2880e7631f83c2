import type { Clock, Ms } from '../base/index.js';
import type { Route } from '../core/routetable/index.js';
import type { Log } from '../port/index.js';
import type { DemandMeter, FoundNeed } from './orders/index.js';
import { holds, type Fleet, type Need } from './route/index.js';
import type { Serving } from './serving.js';

type Sought = Awaited<ReturnType<Serving['seek']>>;

/** Options of a seeker. */
interface SeekerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly fleet: Fleet;
  readonly meter: DemandMeter;
  /** Asks the holder of orders; undefined if it cannot be reached. */
  ask(need: Need): Promise<FoundNeed | undefined>;
}

/** Part of the target latency within which it is worth waiting: the rest is the upstream's. */
const HOLD_SHARE = 0.6;
/** A caller that is back after a refusal is lost if it is refused again; streams' callers leave after 2 s. */
const MOST_RETURN_HOLD_MS = 1500;
/** Callers come back after a refusal if that is within this part of the time that they have left. */
const COME_BACK_SHARE = 0.3;
/** A request is held no longer than this part of its time if there is nothing to offer it. */
const LONGEST_HOLD_SHARE = 0.45;
/** Added to the time at which a model should be there, in ms: the list tells of it a little later. */
const COME_BACK_MARGIN_MS = 60;
/** Without a holder of orders, in ms: about the time until there is one. */
const NO_HOLDER_MS = 1500;
const LOOK_MS = 25;

/** Finds upstreams for requests whose model or adapter this entry knows nowhere. */
export class Seeker {
  private readonly asked = new Map<string, Promise<FoundNeed | undefined>>();

  constructor(private readonly options: SeekerOptions) {}

  async seek(need: Need, route: Route, remainingMs: Ms, isReturn = false): Promise<Sought> {
    const { clock, meter } = this.options;
    if (need.model === undefined) {
      const detail = `No upstream of ${need.service} can be chosen.`;
      return { type: 'unavailable', reason: 'no-upstream', detail };
    }
    const startedAtMs = clock.nowMs();
    meter.waiting(need, 1);
    const sought = await this.wait(need, route, remainingMs, startedAtMs, isReturn);
    meter.waiting(need, -1);
    return sought;
  }

  private async wait(
    need: Need,
    route: Route,
    remainingMs: Ms,
    startedAtMs: Ms,
    isReturn: boolean,
  ): Promise<Sought> {
    const { clock } = this.options;
    const patienceMs = isReturn
      ? Math.min(MOST_RETURN_HOLD_MS, remainingMs * LONGEST_HOLD_SHARE)
      : route.targetLatencyMs * HOLD_SHARE;
    for (;;) {
      const found = await this.ask(need);
      if (this.isReady(need, found)) return { type: 'ready' };
      const inMs = found?.type === 'later' ? found.inMs : NO_HOLDER_MS;
      const heldMs = clock.nowMs() - startedAtMs;
      // While nobody knows when, to come back would be no better than to wait.
      const isKnown = found?.type === 'later' && found.isUnderWay;
      const refusal = this.refusal(need, remainingMs, heldMs, inMs, isKnown, patienceMs);
      if (refusal) return refusal;
      const untilMs = clock.nowMs() + Math.min(inMs, remainingMs * LONGEST_HOLD_SHARE - heldMs);
      // At least one pause, also where no time is left: the loop must not keep the process busy.
      do await this.pause(LOOK_MS);
      while (clock.nowMs() < untilMs && !this.isHeld(need));
      if (this.isHeld(need)) return { type: 'ready' };
    }
  }

  /** Whether to give up for now: at once, with the time at which to come back, or after a long wait. */
  private refusal(
    need: Need,
    remainingMs: Ms,
    heldMs: Ms,
    inMs: Ms,
    isKnown: boolean,
    patienceMs: Ms,
  ): Sought | undefined {
    const isHeldLong = heldMs >= remainingMs * LONGEST_HOLD_SHARE;
    const isSoon = heldMs + inMs <= patienceMs;
    const canComeBack = inMs + COME_BACK_MARGIN_MS <= (remainingMs - heldMs) * COME_BACK_SHARE;
    if (!isHeldLong && (isSoon || !canComeBack || !isKnown)) return undefined;
    const detail = `No upstream of ${need.service} holds what the request needs yet.`;
    const retryAfterMs = inMs + COME_BACK_MARGIN_MS;
    return { type: 'unavailable', reason: 'not-resident', detail, retryAfterMs };
  }

  private isReady(need: Need, found: FoundNeed | undefined): boolean {
    if (found?.type === 'ready') {
      const state = this.options.fleet.get(found.upstream);
      if (state && !state.info.isLeaving) {
        this.options.fleet.hint(state, need, true, this.options.clock.nowMs());
        return true;
      }
    }
    return this.isHeld(need);
  }

  private isHeld(need: Need): boolean {
    const { fleet, clock } = this.options;
    const nowMs = clock.nowMs();
    for (const state of fleet.of(need.service)) {
      if (!state.info.isLeaving && holds(state, need, nowMs)) return true;
    }
    return false;
  }

  /** Requests with the same need ask once. */
  private ask(need: Need): Promise<FoundNeed | undefined> {
    const key = `${need.service}/${need.model}/${need.adapter ?? ''}`;
    const known = this.asked.get(key);
    if (known) return known;
    const asking = this.options.ask(need).finally(() => this.asked.delete(key));
    this.asked.set(key, asking);
    return asking;
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.after(ms, resolve);
    });
  }
}
