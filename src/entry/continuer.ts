import { continuedEvents, HeldAnswer } from '../core/continuation/index.js';
import type { Continuation } from '../wire/index.js';

type Rewrite = (payload: Buffer) => Buffer;

/** Keeps what a caller has been sent of a stream, and fits a continued answer to it. */
export class Continuer {
  private readonly held: HeldAnswer | undefined;

  private rewrite: Rewrite | undefined;

  /** Without a limit nothing is kept, and nothing can be continued. */
  constructor(limitBytes: number | undefined) {
    if (limitBytes !== undefined) this.held = new HeldAnswer(limitBytes);
  }

  /** Takes a payload of the engine, and gives what the caller is to be sent. */
  pass(payload: Buffer): Buffer {
    const own = this.rewrite ? this.rewrite(payload) : payload;
    this.held?.add(own);
    return own;
  }

  /** True if another engine can go on from here. */
  canContinue(): boolean {
    return this.held?.continuation() !== undefined;
  }

  /** True if the generation was complete and only the closing `[DONE]` may be missing. */
  isFinished(): boolean {
    return this.held?.hasEnded() ?? false;
  }

  /** What the next engine is given; what it sends is rewritten from now on. */
  next(): Continuation | undefined {
    const continuation = this.held?.continuation();
    if (!this.held || !continuation) return undefined;
    this.rewrite = continuedEvents(this.held.streamTemplate(), continuation.tokenCount);
    return continuation;
  }
}
