/** One load that waits for the weight store, or uses it. */
export interface PendingLoad {
  readonly index: number;
  readonly model: string;
  readonly sizeBytes: number;
  readonly urgency: number;
}

/** The rate-limited weight store: so many loads begin a second, so many run at once. */
export class WeightQueue {
  private waiting: PendingLoad[] = [];

  private running = 0;

  private nextAtMs = 0;

  constructor(
    private readonly loadsPerSecond: number,
    private readonly parallelLoads: number,
  ) {}

  get pending(): number {
    return this.waiting.length + this.running;
  }

  add(load: PendingLoad): void {
    this.waiting.push(load);
    this.waiting.sort((a, b) => b.urgency - a.urgency);
  }

  /** Takes the next load that may begin now. */
  take(nowMs: number): PendingLoad | undefined {
    if (this.running >= this.parallelLoads || nowMs < this.nextAtMs) return undefined;
    const next = this.waiting.shift();
    if (!next) return undefined;
    this.running += 1;
    this.nextAtMs = nowMs + 1000 / this.loadsPerSecond;
    return next;
  }

  /** When to try again because of the rate, or infinity. */
  retryAtMs(nowMs: number): number {
    if (this.waiting.length === 0 || this.running >= this.parallelLoads) return Infinity;
    return Math.max(nowMs, this.nextAtMs);
  }

  end(): void {
    this.running -= 1;
  }

  /** Forgets what waits for an upstream that has gone. */
  drop(index: number): void {
    this.waiting = this.waiting.filter((load) => load.index !== index);
  }

  /** Expected time until a load of this size that is added now would end. */
  expectMs(sizeBytes: number, loadBytesPerMs: number): number {
    const eachMs = sizeBytes / loadBytesPerMs;
    return eachMs + (this.pending / this.parallelLoads) * eachMs;
  }
}
