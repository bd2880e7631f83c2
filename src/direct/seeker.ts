import type { Clock, Ms } from '../base/index.js';
import { holdOrRefuse, type ResidencyWait } from '../core/residencywait/index.js';
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
  /** How long until somebody may give orders again, where the holder cannot be reached. */
  ordersInMs(): Ms;
}

/** A request that waits, as far as that decides how long. */
type Waiter = Omit<ResidencyWait, 'inMs' | 'isUnderWay'>;

/** A plan and a load from disk, once there is a holder of orders. */
const UNPLANNED_MS = 900;
const LOOK_MS = 25;

/** Finds upstreams for requests whose model or adapter this entry knows nowhere. */
export class Seeker {
  private readonly asked = new Map<string, Promise<FoundNeed | undefined>>();

  constructor(private readonly options: SeekerOptions) {}

  async seek(need: Need, waiter: Waiter): Promise<Sought> {
    const { clock, meter } = this.options;
    if (need.model === undefined) {
      const detail = `No upstream of ${need.service} can be chosen.`;
      return { type: 'unavailable', reason: 'no-upstream', detail };
    }
    meter.waiting(need, 1);
    const sought = await this.wait(need, waiter, clock.nowMs());
    meter.waiting(need, -1);
    return sought;
  }

  private async wait(need: Need, waiter: Waiter, startedAtMs: Ms): Promise<Sought> {
    const { clock } = this.options;
    for (;;) {
      const found = await this.ask(need);
      if (this.isReady(need, found)) return { type: 'ready' };
      const inMs = found?.type === 'later' ? found.inMs : this.options.ordersInMs() + UNPLANNED_MS;
      const passedMs = clock.nowMs() - startedAtMs;
      const heldMs = waiter.heldMs + passedMs;
      const remainingMs = waiter.remainingMs - passedMs;
      const isUnderWay = found?.type === 'later' && found.isUnderWay;
      const decision = holdOrRefuse({ ...waiter, inMs, isUnderWay, heldMs, remainingMs });
      if (decision.type === 'refuse') {
        const detail = `No upstream of ${need.service} holds what the request needs yet.`;
        const { retryAfterMs } = decision;
        return { type: 'unavailable', reason: 'not-resident', detail, retryAfterMs };
      }
      const untilMs = clock.nowMs() + inMs;
      // At least one pause, also where no time is left: the loop must not keep the process busy.
      do await this.pause(LOOK_MS);
      while (clock.nowMs() < untilMs && !this.isHeld(need));
      if (this.isHeld(need)) return { type: 'ready' };
    }
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
