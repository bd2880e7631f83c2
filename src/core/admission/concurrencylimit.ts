import type { Ms } from '../../base/index.js';
import { LinearFit } from './linearfit.js';

/** Fraction of the target within which the predicted gap is kept, so that 95% of the gaps meet the target. */
const TARGET_FRACTION = 0.9;
const RETENTION = 0.95;
const MAX_DECREASE = 0.8;
/** Factor by which the limit may exceed the declared slots if the measured time between tokens allows it. */
const MAX_FACTOR = 2;
const MIN_LIMIT = 2;

/**
 * Limits the number of concurrent requests so that the time between tokens meets its target. That time grows with the
 * number of running requests; a linear fit of recent measurements predicts where it reaches the target.
 */
export class ConcurrencyLimit {
  private current: number;

  private readonly fit = new LinearFit(RETENTION);

  constructor(
    private readonly slots: number,
    private readonly targetMs: Ms,
  ) {
    this.current = slots;
  }

  get limit(): number {
    return Math.floor(this.current);
  }

  /** Takes a measured gap over `tokenCount` tokens; `running` is the mean number of requests during it. */
  learn(gapMs: Ms, running: number, tokenCount: number): void {
    this.fit.add(running, gapMs, tokenCount);
    const allowedMs = TARGET_FRACTION * this.targetMs;
    const expectedMs = this.fit.predict(this.current);
    const saturated = running >= this.current - 1;
    if (expectedMs > allowedMs) this.lower(allowedMs / expectedMs);
    else if (this.fit.predict(this.current + 1) <= allowedMs && saturated) this.raise();
  }

  private lower(ratio: number): void {
    const minimum = Math.min(MIN_LIMIT, this.slots);
    this.current = Math.max(minimum, this.current * Math.max(MAX_DECREASE, ratio));
  }

  private raise(): void {
    this.current = Math.min(MAX_FACTOR * this.slots, this.current + 1);
  }
}
