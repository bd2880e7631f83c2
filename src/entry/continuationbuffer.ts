import { continuedEvents, HeldAnswer } from '../core/continuation/index.js';
import type { Continuation } from '../wire/index.js';

type Rewrite = (payload: Buffer) => Buffer;

/**
 * Buffers what has been sent to a caller of a stream, so that another engine can continue it, and rewrites the continued
 * answer to match what was sent before.
 */
export class ContinuationBuffer {
  private readonly held: HeldAnswer | undefined;

  private rewrite: Rewrite | undefined;

  /** Without a limit nothing is buffered, and the stream cannot be continued. */
  constructor(limitBytes: number | undefined) {
    if (limitBytes !== undefined) this.held = new HeldAnswer(limitBytes);
  }

  /** Takes a payload of the engine; returns the payload to send to the caller. */
  forward(payload: Buffer): Buffer {
    const rewritten = this.rewrite ? this.rewrite(payload) : payload;
    this.held?.add(rewritten);
    return rewritten;
  }

  /** True if another engine can continue the stream from here. */
  canContinue(): boolean {
    return this.held?.continuation() !== undefined;
  }

  /** True if the generation was complete and only the closing `[DONE]` may be missing. */
  isFinished(): boolean {
    return this.held?.hasEnded() ?? false;
  }

  /** Returns what the next engine continues from. The payloads of that engine are rewritten from now on. */
  startContinuation(): Continuation | undefined {
    const continuation = this.held?.continuation();
    if (!this.held || !continuation) return undefined;
    this.rewrite = continuedEvents(this.held.streamTemplate(), continuation.tokenCount);
    return continuation;
  }
}
