import type { Ms } from '../../base/index.js';

/** Loads that may begin beyond the rate in a window, by the platform's rules. */
const EXTRA_LOADS = 3;
/** Kept back for loads that an upstream begins later than it was told. */
const KEPT_BACK = 2;
/** A new holder does not know what the one before did: it takes that one's budget as spent. */
const SPENT_BEFORE_SHARE = 0.9;
const MS_PER_S = 1000;

/** How many loads from the weight store may begin, over all upstreams, in any window. */
export class LoadBudget {
  private begun: { atMs: Ms }[] = [];

  private assumed = 0;

  private assumedAtMs: Ms = 0;

  constructor(
    private readonly windowMs: Ms,
    private readonly overshoot: number,
  ) {}

  /** Another host gave orders until `nowMs`. */
  tookOver(perSecond: number, nowMs: Ms): void {
    this.assumed = this.most(perSecond) * SPENT_BEFORE_SHARE;
    this.assumedAtMs = nowMs;
  }

  left(perSecond: number, nowMs: Ms): number {
    this.begun = this.begun.filter(({ atMs }) => atMs > nowMs - this.windowMs);
    const assumed = nowMs - this.assumedAtMs < this.windowMs ? this.assumed : 0;
    return Math.floor(this.most(perSecond) - assumed - this.begun.length);
  }

  begin(nowMs: Ms): void {
    this.begun.push({ atMs: nowMs });
  }

  /**
   * Keeps a load that is to begin later: it counts until then, and from then on for a window. Counted from the
   * decision only, loads that had waited up to 4 s for an unload came together with the next window's.
   */
  reserve(): (nowMs: Ms) => void {
    const kept = { atMs: Infinity };
    this.begun.push(kept);
    return (nowMs) => {
      kept.atMs = nowMs;
    };
  }

  private most(perSecond: number): number {
    const rate = (perSecond * this.windowMs * this.overshoot) / MS_PER_S;
    return Math.max(1, rate + EXTRA_LOADS - KEPT_BACK);
  }
}
