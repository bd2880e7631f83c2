import type { Result } from 'ts-results';
import { result } from '../base/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Refusal, RequestHead, UpstreamLoad } from '../wire/index.js';
import type { Admission, Slot } from './part/index.js';

/** First-in, first-out admission with a fixed number of slots. */
export class FifoAdmission implements Admission {
  private running = 0;

  private readonly waiting: (() => void)[] = [];

  constructor(private readonly slots: number) {}

  offer(_requestId: string, _head: RequestHead, gone: AbortSignal): Promise<Result<Slot, Refusal>> {
    return new Promise((resolve) => {
      const start = () => {
        if (gone.aborted) {
          resolve(result.Err(refuse('cancelled', 'The caller has gone.')));
          this.startNext();
          return;
        }
        this.running += 1;
        resolve(result.Ok(this.slot()));
      };
      if (this.running < this.slots) start();
      else this.waiting.push(start);
    });
  }

  load(): UpstreamLoad {
    return {
      running: this.running,
      queued: this.waiting.length,
      slots: this.slots,
      estimatedWaitMs: 0,
      ageMs: 0,
    };
  }

  private slot(): Slot {
    const release = () => {
      this.running -= 1;
      this.startNext();
    };
    return { preempted: new AbortController().signal, progress: () => {}, release };
  }

  private startNext(): void {
    if (this.running < this.slots) this.waiting.shift()?.();
  }
}
