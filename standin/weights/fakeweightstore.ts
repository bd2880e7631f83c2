import type { WeightStore } from '../../src/port/index.js';
import { addLoad } from './addload.js';
import { advance } from './advance.js';
import type { WeightOptions } from './weightoptions.js';
import type { WeightState } from './weightstate.js';

const DEFAULTS: WeightOptions & { readonly speed: number } = {
  loadsPerSecond: 3,
  parallelLoads: 4,
  bytesPerMs: 8_000_000,
  speed: 1,
};

/** A stand-in for the platform's weight store, shared by the stand-in engines of a deployment. */
export class FakeWeightStore implements WeightStore {
  /** Total number of loads requested. */
  loadCount = 0;

  private readonly options: typeof DEFAULTS;

  private readonly startMs = performance.now();

  private state: WeightState = { atMs: 0, nextId: 1, lastStartAtMs: -Infinity, loads: [] };

  private readonly waiting = new Map<number, () => void>();

  private timer: NodeJS.Timeout | undefined;

  /** `speed` is the speed of the store's time relative to real time. */
  constructor(options: Partial<typeof DEFAULTS> = {}) {
    this.options = { ...DEFAULTS, ...options };
  }

  get loadsPerSecond(): number {
    return this.options.loadsPerSecond;
  }

  get parallelLoads(): number {
    return this.options.parallelLoads;
  }

  loadMs(sizeBytes: number): number {
    return sizeBytes / this.options.bytesPerMs;
  }

  /** Resolves when the weights have been loaded. */
  load(sizeBytes: number): Promise<void> {
    this.advance();
    this.loadCount += 1;
    const id = this.state.nextId;
    this.state = addLoad(this.state, sizeBytes, this.options);
    return new Promise((resolve) => {
      this.waiting.set(id, resolve);
      this.advance();
    });
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private advance(): void {
    clearTimeout(this.timer);
    const nowMs = (performance.now() - this.startMs) * this.options.speed;
    const { state, doneIds, wakeAtMs } = advance(this.state, nowMs, this.options);
    this.state = state;
    for (const id of doneIds) {
      this.waiting.get(id)?.();
      this.waiting.delete(id);
    }
    if (wakeAtMs === undefined) return;
    const delayMs = Math.ceil((wakeAtMs - nowMs) / this.options.speed);
    this.timer = setTimeout(() => this.advance(), delayMs);
  }
}
