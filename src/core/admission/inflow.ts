import type { Ms } from '../../base/index.js';

const DEFAULT_MEMORY_MS = 5000;

/** How much work comes in: work time a unit of time, over the last seconds. */
export class Inflow {
  private rate = 0;

  private atMs: Ms = 0;

  constructor(private readonly memoryMs = DEFAULT_MEMORY_MS) {}

  add(workMs: Ms, nowMs: Ms): void {
    this.rate = this.at(nowMs) + workMs / this.memoryMs;
    this.atMs = nowMs;
  }

  at(nowMs: Ms): number {
    return this.rate * Math.exp((this.atMs - nowMs) / this.memoryMs);
  }
}
