import type { Clock, Ms } from '../../src/base/index.js';

interface Timer {
  readonly atMs: Ms;
  readonly act: () => void;
}

/** A virtual clock that advances a little with every reading, as on a host where each step of work takes time. */
export class SlowClock implements Clock {
  private currentMs: Ms = 0;

  private timers: Timer[] = [];

  /** Time that passes with every reading. */
  constructor(private readonly readingMs: Ms) {}

  nowMs(): Ms {
    this.currentMs += this.readingMs;
    return this.currentMs;
  }

  wallMs(): Ms {
    return this.currentMs;
  }

  /** Returns the time without advancing it. */
  peekMs(): Ms {
    return this.currentMs;
  }

  after(delayMs: Ms, act: () => void): () => void {
    const timer = { atMs: this.currentMs + Math.max(0, delayMs), act };
    let at = this.timers.length;
    while (at > 0 && this.timers[at - 1]!.atMs > timer.atMs) at -= 1;
    this.timers.splice(at, 0, timer);
    return () => {
      this.timers = this.timers.filter((other) => other !== timer);
    };
  }

  /** Runs until `untilMs`. Tasks that a timer has resolved run before the next timer. */
  async run(untilMs: Ms): Promise<void> {
    for (;;) {
      await new Promise(setImmediate);
      const [next] = this.timers;
      if (!next || next.atMs > untilMs) break;
      this.timers.shift();
      this.currentMs = Math.max(this.currentMs, next.atMs);
      next.act();
    }
    this.currentMs = Math.max(this.currentMs, untilMs);
  }
}
