/** Pause between two connections that are read on, so that others get most of the processor. */
const PAUSE_MS = 1;

/** Reads connections whose answers come in very small chunks on one at a time, with a pause between. */
export class ReadPacer {
  private readonly waiting = new Set<() => void>();

  private isScheduled = false;

  /** Calls `resume` when it is its turn. */
  wait(resume: () => void): void {
    this.waiting.add(resume);
    this.schedule();
  }

  /** Withdraws a call that has not been made. */
  forget(resume: () => void): void {
    this.waiting.delete(resume);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setTimeout(() => {
      this.isScheduled = false;
      const [next] = this.waiting;
      if (!next) return;
      this.waiting.delete(next);
      if (this.waiting.size > 0) this.schedule();
      next();
    }, PAUSE_MS);
  }
}
