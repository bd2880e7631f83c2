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
/**
 * What the holder said of a need that is not there yet holds for this long for others with the same need, and so does
 * that it did not answer. Asked for each request, a holder of an eighth of a core left 317 of some 1,400 questions of
 * a day without an answer, and callers were refused after 409 ms (8 of 10 within it) in place of at once.
 */
const TOLD_MS = 150;

/** An answer of the holder's that is not "ready". */
interface Told {
  readonly found: FoundNeed | undefined;
  readonly atMs: Ms;
}

/** What was told then, as it is now. */
function since({ found, atMs }: Told, nowMs: Ms): FoundNeed | undefined {
  if (found?.type !== 'later') return found;
  return { ...found, inMs: Math.max(LOOK_MS, found.inMs - (nowMs - atMs)) };
}

/** Finds upstreams for requests whose model or adapter this entry knows nowhere. */
export class Seeker {
  private readonly asked = new Map<string, Promise<FoundNeed | undefined>>();

  private readonly told = new Map<string, Told>();

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

  /** Requests with the same need ask once, and heed what was said a moment ago. */
  private ask(need: Need): Promise<FoundNeed | undefined> {
    const key = `${need.service}/${need.model}/${need.adapter ?? ''}`;
    const known = this.asked.get(key);
    if (known) return known;
    const nowMs = this.options.clock.nowMs();
    const told = this.told.get(key);
    if (told && nowMs - told.atMs < TOLD_MS) return Promise.resolve(since(told, nowMs));
    const asking = this.options.ask(need).finally(() => this.asked.delete(key));
    this.asked.set(key, asking);
    void asking.then((found) => this.note(key, found));
    return asking;
  }

  private note(key: string, found: FoundNeed | undefined): void {
    const nowMs = this.options.clock.nowMs();
    for (const [other, { atMs }] of this.told) {
      if (nowMs - atMs >= TOLD_MS) this.told.delete(other);
    }
    if (found?.type !== 'ready') this.told.set(key, { found, atMs: nowMs });
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.after(ms, resolve);
    });
  }
}
