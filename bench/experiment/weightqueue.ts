/** A load that waits for the weight store or reads from it. */
export interface PendingLoad {
  readonly index: number;
  readonly model: string;
  readonly sizeBytes: number;
  readonly urgency: number;
}

/** The weight store, limited in loads started per second and in parallel loads. */
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

  /** Starts the next load and returns it, if the limits allow one now. */
  take(nowMs: number): PendingLoad | undefined {
    if (this.running >= this.parallelLoads || nowMs < this.nextAtMs) return undefined;
    const next = this.waiting.shift();
    if (!next) return undefined;
    this.running += 1;
    this.nextAtMs = nowMs + 1000 / this.loadsPerSecond;
    return next;
  }

  /** Time at which the rate allows the next load; infinity if none waits or all parallel loads are in use. */
  retryAtMs(nowMs: number): number {
    if (this.waiting.length === 0 || this.running >= this.parallelLoads) return Infinity;
    return Math.max(nowMs, this.nextAtMs);
  }

  end(): void {
    this.running -= 1;
  }

  /** Drops the waiting loads of a lost upstream. */
  drop(index: number): void {
    this.waiting = this.waiting.filter((load) => load.index !== index);
  }

  /** Expected time until a load of this size would end if it were added now. */
  expectMs(sizeBytes: number, loadBytesPerMs: number): number {
    const eachMs = sizeBytes / loadBytesPerMs;
    return eachMs + (this.pending / this.parallelLoads) * eachMs;
  }
}
