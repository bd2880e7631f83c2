import type { Frame, FrameBatch } from '../../wire/index.js';

/** The writing half of a gRPC stream. */
interface Sink {
  write(batch: FrameBatch): boolean;
  once(event: 'drain', act: () => void): unknown;
}

/** Options of a `Batcher`. */
interface BatcherOptions {
  /** Returns the highest configuration revision in force at this process. */
  readonly revision: () => number;
}

/** Shortest interval between batches on a busy stream; see docs/design/link.md. */
const BATCH_INTERVAL_MS = 4;

/**
 * Collects frames into one message, since a message costs far more than a frame within it. On a quiet stream, frames
 * are sent at the end of the current event-loop iteration. On a busy stream, urgent frames are too, and all others
 * are sent once per batch interval. While the stream exerts back-pressure, frames queue here; credit bounds their
 * number.
 */
export class Batcher {
  private frames: Frame[] = [];

  private isFlushScheduled = false;

  private timer: NodeJS.Timeout | undefined;

  private sentAtMs = 0;

  private isBlocked = false;

  constructor(
    private readonly sink: Sink,
    private readonly options: BatcherOptions,
  ) {}

  /** Queues a frame. `urgent` frames do not wait for the batch interval. */
  push(frame: Frame, urgent = true): void {
    this.frames.push(frame);
    if (this.isFlushScheduled || this.isBlocked) return;
    const waitMs = urgent ? 0 : this.sentAtMs + BATCH_INTERVAL_MS - performance.now();
    if (waitMs <= 0) this.scheduleFlush();
    else this.timer ??= setTimeout(() => this.flush(), waitMs);
  }

  /** Sends the queued frames now. `leaving` sets that flag on the batch and ignores back-pressure. */
  flush(leaving = false): void {
    this.isFlushScheduled = false;
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isBlocked && !leaving) return;
    if (this.frames.length === 0 && !leaving) return;
    const { frames } = this;
    this.frames = [];
    this.sentAtMs = performance.now();
    if (this.sink.write({ frames, revision: this.options.revision(), leaving })) return;
    this.isBlocked = true;
    this.sink.once('drain', () => {
      this.isBlocked = false;
      this.flush();
    });
  }

  private scheduleFlush(): void {
    this.isFlushScheduled = true;
    setImmediate(() => this.flush());
  }
}
