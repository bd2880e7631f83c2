import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { hash32 } from '../../core/hash/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import type { SlotWaiter } from '../route/index.js';
import type { SlotAnswer } from './slotanswer.js';

/** Permission to send one request, from a point in time on. */
interface Slot {
  readonly atMs: Ms;
  /** The request that waited for it. */
  readonly requestId: string | undefined;
}

/** Slots of one upstream that this entry holds or has asked for. */
interface Held {
  /** Oldest first. */
  readonly slots: Slot[];
  askedCount: number;
  /** The holder is not asked again before then. */
  closedUntilMs: Ms;
}

/** Returns the waiter's key. All waiters without a request share one, so one of them asks the holder at a time. */
function keyOf({ requestId = '' }: SlotWaiter): string {
  return requestId;
}

interface SlotClientOptions {
  readonly clock: Clock;
  /** Asks the holder for a slot; undefined without an answer. */
  readonly draw: (upstream: UpstreamId, ask: SlotWaiter) => Promise<SlotAnswer | undefined>;
}

/** The slots that this entry holds at upstreams with a rate limit. */
export class SlotClient {
  private readonly held = new Map<UpstreamId, Held>();

  /** Waiters for which the holder is being asked. */
  private readonly pending = new Set<string>();

  constructor(private readonly options: SlotClientOptions) {}

  /** Returns the time until a request may be sent there: 0 for now, Infinity if unknown. */
  opensInMs(upstream: UpstreamId, nowMs: Ms, requestId?: string): Ms {
    const held = this.held.get(upstream);
    if (!held) return Infinity;
    this.dropExpired(held, nowMs);
    if (this.slotFor(held, nowMs, requestId)) return 0;
    return held.closedUntilMs > nowMs ? held.closedUntilMs - nowMs : Infinity;
  }

  /** Uses up a slot: a request is about to be sent there. */
  take(upstream: UpstreamId, nowMs: Ms, requestId: string): void {
    const held = this.held.get(upstream);
    const slot = held && this.slotFor(held, nowMs, requestId);
    if (slot) held.slots.splice(held.slots.indexOf(slot), 1);
  }

  /**
   * Asks for a slot at one of the upstreams that a request could be sent to. At most one slot request per waiter is
   * outstanding.
   */
  request(upstreams: readonly UpstreamId[], ask: SlotWaiter, nowMs: Ms): void {
    if (this.pending.has(keyOf(ask)) || this.pending.size >= rateRules.maxOutstanding) return;
    let best: Held | undefined;
    let bestId: UpstreamId | undefined;
    // The hash spreads entries that have one request each over the upstreams.
    const first = hash32(keyOf(ask)) % Math.max(1, upstreams.length);
    for (const id of [...upstreams.slice(first), ...upstreams.slice(0, first)]) {
      const held = this.heldOf(id);
      this.dropExpired(held, nowMs);
      if (held.closedUntilMs > nowMs || (best && held.askedCount >= best.askedCount)) continue;
      best = held;
      bestId = id;
    }
    if (best && bestId !== undefined) void this.ask(bestId, best, ask);
  }

  /** Forgets an upstream's slots: its limit has changed or was lifted. */
  forget(upstream: UpstreamId): void {
    this.held.delete(upstream);
  }

  private async ask(upstream: UpstreamId, held: Held, ask: SlotWaiter): Promise<void> {
    const updated = held;
    this.pending.add(keyOf(ask));
    updated.askedCount += 1;
    const answer = await this.options.draw(upstream, ask);
    this.pending.delete(keyOf(ask));
    updated.askedCount -= 1;
    const nowMs = this.options.clock.nowMs();
    if (answer?.type === 'granted') {
      held.slots.push({ atMs: nowMs, requestId: ask.requestId });
      return;
    }
    const waitMs = answer?.type === 'later' ? answer.inMs : rateRules.minBackoffMs;
    updated.closedUntilMs = nowMs + Math.min(waitMs, rateRules.maxBackoffMs);
  }

  /** Returns a slot for a request. For a short time only the request that waited for a slot may use it. */
  private slotFor({ slots }: Held, nowMs: Ms, requestId: string | undefined): Slot | undefined {
    const own = slots.find((slot) => slot.requestId !== undefined && slot.requestId === requestId);
    const isFree = (slot: Slot) =>
      slot.requestId === undefined || nowMs > slot.atMs + rateRules.minUsableMs;
    return own ?? slots.find(isFree);
  }

  private dropExpired({ slots }: Held, nowMs: Ms): void {
    while (slots.length > 0 && slots[0]!.atMs + rateRules.validMs < nowMs) slots.shift();
  }

  private heldOf(upstream: UpstreamId): Held {
    let held = this.held.get(upstream);
    if (!held) {
      held = { slots: [], askedCount: 0, closedUntilMs: -Infinity };
      this.held.set(upstream, held);
    }
    return held;
  }
}
