/** An answer that is held until it is complete. */
interface Held {
  /** Sends what is held, and the rest as it arrives. */
  passOn(): void;
}

/** The memory that all answers take that are held until they are complete. */
export class HeldAnswers {
  private readonly sizes = new Map<Held, number>();

  private sizeBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /** Records what an answer takes. While all take more than the limit, the one that takes most is passed on. */
  record(answer: Held, sizeBytes: number): void {
    this.sizeBytes += sizeBytes - (this.sizes.get(answer) ?? 0);
    this.sizes.set(answer, sizeBytes);
    while (this.sizeBytes > this.limitBytes) this.passLargestOn();
  }

  /** Has to be called when an answer is held no longer. */
  forget(answer: Held): void {
    this.sizeBytes -= this.sizes.get(answer) ?? 0;
    this.sizes.delete(answer);
  }

  private passLargestOn(): void {
    const [first] = this.sizes;
    if (!first) return;
    let [largest, mostBytes] = first;
    for (const [answer, sizeBytes] of this.sizes) {
      if (sizeBytes > mostBytes) [largest, mostBytes] = [answer, sizeBytes];
    }
    this.forget(largest);
    largest.passOn();
  }
}
