import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { hash32 } from '../../core/hash/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import type { SlotAsk } from '../route/index.js';
import type { SlotAnswer } from './slotanswer.js';

/** What this entry holds and asks for at one upstream. */
interface Held {
  /** When each slot was granted, the oldest first. */
  readonly slots: Ms[];
  askedCount: number;
  /** The holder is not asked before then. */
  closedUntilMs: Ms;
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
  opensInMs(upstream: UpstreamId, nowMs: Ms): Ms {
    const held = this.held.get(upstream);
    if (!held) return Infinity;
    this.drop(held, nowMs);
    if (held.slots.length > 0) return 0;
    return held.closedUntilMs > nowMs ? held.closedUntilMs - nowMs : Infinity;
  }

  /** A request is about to be sent there. */
  take(upstream: UpstreamId, nowMs: Ms): void {
    const held = this.held.get(upstream);
    if (!held) return;
    this.drop(held, nowMs);
    held.slots.shift();
  }

  /** A request would be sent to one of them if it might: asks for a slot, once at a time for each request. */
  want(upstreams: readonly UpstreamId[], ask: SlotAsk, nowMs: Ms): void {
    if (this.askers.has(ask.asker) || this.askers.size >= rateRules.mostAsked) return;
    let best: Held | undefined;
    let bestId: UpstreamId | undefined;
    // Entries with one request each begin at different upstreams.
    const first = hash32(ask.asker) % Math.max(1, upstreams.length);
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
    this.askers.add(ask.asker);
    mark.askedCount += 1;
    const said = await this.options.draw(upstream, ask);
    this.askers.delete(ask.asker);
    mark.askedCount -= 1;
    const nowMs = this.options.clock.nowMs();
    if (said?.type === 'granted') {
      held.slots.push(nowMs);
      return;
    }
    const pauseMs = said?.type === 'later' ? said.inMs : rateRules.leastPauseMs;
    mark.closedUntilMs = nowMs + pauseMs;
  }

  private drop({ slots }: Held, nowMs: Ms): void {
    while (slots.length > 0 && slots[0]! + rateRules.validMs < nowMs) slots.shift();
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
