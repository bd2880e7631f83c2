import type { Ms } from '../../base/index.js';
import { LinearFit } from './linearfit.js';

/** Part of the goal that the mean pace aims at, so that 95 in 100 keep the goal. */
const AIM = 0.9;
const KEEP = 0.95;
const LARGEST_CUT = 0.8;
/** The declared slots may be exceeded so far where the measured pace allows it. */
const LARGEST_FACTOR = 2;
const LEAST_LIMIT = 2;

/**
 * How many requests may run at once so that tokens keep their pace. The time between tokens grows with
 * the number that run: a line through the latest measurements tells where it meets the goal.
 */
export class PaceLimit {
  private current: number;

  private readonly line = new LinearFit(KEEP);

  constructor(
    private readonly slots: number,
    private readonly goalMs: Ms,
  ) {
    this.current = slots;
  }

  get limit(): number {
    return Math.floor(this.current);
  }

  /** `running` is how many ran, in the mean, while the pace of so many tokens was measured. */
  learn(gapMs: Ms, running: number, tokenCount: number): void {
    this.line.add(running, gapMs, tokenCount);
    const aimMs = AIM * this.goalMs;
    const expectedMs = this.line.predict(this.current);
    const saturated = running >= this.current - 1;
    if (expectedMs > aimMs) this.lower(aimMs / expectedMs);
    else if (this.line.predict(this.current + 1) <= aimMs && saturated) this.raise();
  }

  private lower(ratio: number): void {
    const least = Math.min(LEAST_LIMIT, this.slots);
    this.current = Math.max(least, this.current * Math.max(LARGEST_CUT, ratio));
  }

  private raise(): void {
    this.current = Math.min(LARGEST_FACTOR * this.slots, this.current + 1);
  }
}
