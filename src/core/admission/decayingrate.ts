import type { Ms } from '../../base/index.js';

const DEFAULT_TIME_CONSTANT_MS = 5000;

/** Exponentially decaying rate of work: ms of work per ms of time. */
export class DecayingRate {
  private rate = 0;

  private atMs: Ms = 0;

  constructor(private readonly timeConstantMs = DEFAULT_TIME_CONSTANT_MS) {}

  add(workMs: Ms, nowMs: Ms): void {
    this.rate = this.at(nowMs) + workMs / this.timeConstantMs;
    this.atMs = nowMs;
  }

  at(nowMs: Ms): number {
    return this.rate * Math.exp((this.atMs - nowMs) / this.timeConstantMs);
  }
}
