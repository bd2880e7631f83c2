import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { hash32 } from '../../core/hash/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import type { SlotAsk } from '../route/index.js';
import type { SlotAnswer } from './slotanswer.js';

/** A moment at which one request may be sent. */
interface Slot {
  readonly atMs: Ms;
  /** The request that waited for it. */
  readonly asker: string | undefined;
}

/** What this entry holds and asks for at one upstream. */
interface Held {
  /** The oldest first. */
  readonly slots: Slot[];
  askedCount: number;
  /** The holder is not asked before then. */
  closedUntilMs: Ms;
}

/** Of questions for nobody in particular one is asked at a time. */
function nameOf({ asker = '' }: SlotAsk): string {
  return asker;
}

/** What an entry's side of limits stands on. */
interface SlotDeskOptions {
  readonly clock: Clock;
  /** Asks the holder; undefined without an answer. */
  readonly draw: (upstream: UpstreamId, ask: SlotAsk) => Promise<SlotAnswer | undefined>;
}

/** The slots that this entry holds at upstreams with a limit. */
export class SlotDesk {
  private readonly held = new Map<UpstreamId, Held>();

  /** Requests for which a question is under way. */
  private readonly askers = new Set<string>();

  constructor(private readonly options: SlotDeskOptions) {}

  /** How long until a request may be sent there: 0 now, Infinity if that is not known. */
  opensInMs(upstream: UpstreamId, nowMs: Ms, asker?: string): Ms {
    const held = this.held.get(upstream);
    if (!held) return Infinity;
    this.drop(held, nowMs);
    if (this.slotFor(held, nowMs, asker)) return 0;
    return held.closedUntilMs > nowMs ? held.closedUntilMs - nowMs : Infinity;
  }

  /** A request is about to be sent there. */
  take(upstream: UpstreamId, nowMs: Ms, asker: string): void {
    const held = this.held.get(upstream);
    const slot = held && this.slotFor(held, nowMs, asker);
    if (slot) held.slots.splice(held.slots.indexOf(slot), 1);
  }

  /** A request would be sent to one of them if it might: asks for a slot, once at a time for each request. */
  want(upstreams: readonly UpstreamId[], ask: SlotAsk, nowMs: Ms): void {
    if (this.askers.has(nameOf(ask)) || this.askers.size >= rateRules.maxOutstanding) return;
    let best: Held | undefined;
    let bestId: UpstreamId | undefined;
    // Entries with one request each begin at different upstreams.
    const first = hash32(nameOf(ask)) % Math.max(1, upstreams.length);
    for (const id of [...upstreams.slice(first), ...upstreams.slice(0, first)]) {
      const held = this.heldOf(id);
      this.drop(held, nowMs);
      if (held.closedUntilMs > nowMs || (best && held.askedCount >= best.askedCount)) continue;
      best = held;
      bestId = id;
    }
    if (best && bestId !== undefined) void this.ask(bestId, best, ask);
  }

  /** The upstream has another limit, or none any more. */
  forget(upstream: UpstreamId): void {
    this.held.delete(upstream);
  }

  private async ask(upstream: UpstreamId, held: Held, ask: SlotAsk): Promise<void> {
    const mark = held;
    this.askers.add(nameOf(ask));
    mark.askedCount += 1;
    const said = await this.options.draw(upstream, ask);
    this.askers.delete(nameOf(ask));
    mark.askedCount -= 1;
    const nowMs = this.options.clock.nowMs();
    if (said?.type === 'granted') {
      held.slots.push({ atMs: nowMs, asker: ask.asker });
      return;
    }
    const pauseMs = said?.type === 'later' ? said.inMs : rateRules.minBackoffMs;
    mark.closedUntilMs = nowMs + pauseMs;
  }

  /** A slot is kept a little for the request that waited for it: else one that has just come would go before it. */
  private slotFor({ slots }: Held, nowMs: Ms, asker: string | undefined): Slot | undefined {
    const own = slots.find((slot) => slot.asker !== undefined && slot.asker === asker);
    const isFree = (slot: Slot) =>
      slot.asker === undefined || nowMs > slot.atMs + rateRules.minUsableMs;
    return own ?? slots.find(isFree);
  }

  private drop({ slots }: Held, nowMs: Ms): void {
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
