import type { Frame, FrameBatch } from '../../wire/index.js';

/** The writing half of a gRPC stream. */
interface Sink {
  write(batch: FrameBatch): boolean;
  once(event: 'drain', act: () => void): unknown;
}

/** Options of a batcher. */
interface BatcherOptions {
  /** Highest configuration revision in force here. */
  readonly revision: () => number;
}

/** A busy stream sends a batch no more often than this; see docs/design/link.md. */
const WINDOW_MS = 4;

/**
 * Collects frames into one message, which costs far more than a frame in it. On a quiet stream they
 * leave with the turn of the event loop; on a busy one within the window, but what somebody waits for
 * still leaves with the turn. While the stream is full, frames wait here: credit bounds their number.
 */
export class Batcher {
  private frames: Frame[] = [];

  private turnIsDue = false;

  private timer: NodeJS.Timeout | undefined;

  private sentAtMs = 0;

  private blocked = false;

  constructor(
    private readonly sink: Sink,
    private readonly options: BatcherOptions,
  ) {}

  /** `urgent` frames do not wait for the window. */
  push(frame: Frame, urgent = true): void {
    this.frames.push(frame);
    if (this.turnIsDue || this.blocked) return;
    const waitMs = urgent ? 0 : this.sentAtMs + WINDOW_MS - performance.now();
    if (waitMs <= 0) this.flushThisTurn();
    else this.timer ??= setTimeout(() => this.flush(), waitMs);
  }

  /** Sends what is held at once; `leaving` marks the batch so. */
  flush(leaving = false): void {
    this.turnIsDue = false;
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.blocked && !leaving) return;
    if (this.frames.length === 0 && !leaving) return;
    const { frames } = this;
    this.frames = [];
    this.sentAtMs = performance.now();
    if (this.sink.write({ frames, revision: this.options.revision(), leaving })) return;
    this.blocked = true;
    this.sink.once('drain', () => {
      this.blocked = false;
      this.flush();
    });
  }

  private flushThisTurn(): void {
    this.turnIsDue = true;
    setImmediate(() => this.flush());
  }
}
