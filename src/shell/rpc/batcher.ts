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

/**
 * Collects the frames of one turn of the event loop into one message. A message costs far more than a
 * frame in it. While the stream is full, frames wait here: their number is bounded by credit.
 */
export class Batcher {
  private frames: Frame[] = [];

  private scheduled = false;

  private blocked = false;

  constructor(
    private readonly sink: Sink,
    private readonly options: BatcherOptions,
  ) {}

  push(frame: Frame): void {
    this.frames.push(frame);
    this.schedule();
  }

  /** Sends what is held at once; `leaving` marks the batch so. */
  flush(leaving = false): void {
    this.scheduled = false;
    if (this.blocked && !leaving) return;
    if (this.frames.length === 0 && !leaving) return;
    const { frames } = this;
    this.frames = [];
    if (this.sink.write({ frames, revision: this.options.revision(), leaving })) return;
    this.blocked = true;
    this.sink.once('drain', () => {
      this.blocked = false;
      this.flush();
    });
  }

  private schedule(): void {
    if (this.scheduled || this.blocked) return;
    this.scheduled = true;
    setImmediate(() => this.flush());
  }
}
