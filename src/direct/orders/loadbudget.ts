import type { Ms } from '../../base/index.js';

/** Loads that may start in a window beyond the rate, by the platform's rules. */
const EXTRA_LOADS = 3;
/** Reserve for loads that an upstream starts later than ordered. */
const RESERVED_LOADS = 2;
/** A new lease holder does not know its predecessor's loads and assumes this share of the budget spent. */
const ASSUMED_SPENT_SHARE = 0.9;
const MS_PER_S = 1000;

/** Limits how many loads from the weight store may start, over all upstreams, in any window. */
export class LoadBudget {
  private started: { atMs: Ms }[] = [];

  private assumed = 0;

  private assumedAtMs: Ms = 0;

  constructor(
    private readonly windowMs: Ms,
    private readonly overshoot: number,
  ) {}

  /** Called when this process takes over the order lease from another host. */
  assumeSpent(perSecond: number, nowMs: Ms): void {
    this.assumed = this.limit(perSecond) * ASSUMED_SPENT_SHARE;
    this.assumedAtMs = nowMs;
  }

  left(perSecond: number, nowMs: Ms): number {
    this.started = this.started.filter(({ atMs }) => atMs > nowMs - this.windowMs);
    const assumed = nowMs - this.assumedAtMs < this.windowMs ? this.assumed : 0;
    return Math.floor(this.limit(perSecond) - assumed - this.started.length);
  }

  begin(nowMs: Ms): void {
    this.started.push({ atMs: nowMs });
  }

  /**
   * Reserves a load that starts later and returns the function that marks its start: it counts until then, and for
   * a window from then on. When loads counted from the decision on, those that had waited up to 4 s for an unload
   * started together with those of the next window.
   */
  reserve(): (nowMs: Ms) => void {
    const kept = { atMs: Infinity };
    this.started.push(kept);
    return (nowMs) => {
      kept.atMs = nowMs;
    };
  }

  private limit(perSecond: number): number {
    const rate = (perSecond * this.windowMs * this.overshoot) / MS_PER_S;
    return Math.max(1, rate + EXTRA_LOADS - RESERVED_LOADS);
  }
}
