import type { ServerResponse } from 'node:http';

/** A request that waited for a slot. */
interface Wait {
  readonly id: string;
  readonly fromMs: number;
  /** When it got a slot or its caller left. */
  untilMs: number | undefined;
}

interface Waiting {
  readonly response: ServerResponse;
  readonly wait: Wait;
  readonly start: () => void;
}

/** Runs as many requests at a time as there are slots; as many more wait, and those beyond them are not accepted. */
export class SlotGate {
  /** Every request that waited, in order. */
  readonly waits: Wait[] = [];

  /** Factor by which work takes longer for a while. */
  slowdown = 1;

  private running = 0;

  private readonly waiting: Waiting[] = [];

  constructor(
    readonly slots: number,
    /** Time that work takes, as a factor of the usual time. */
    private readonly pace: number,
  ) {}

  /** Time that work takes now, as a factor of the usual time. */
  get factor(): number {
    return this.pace * this.slowdown;
  }

  /** Value of the load header: running and waiting requests, slots, and the current factor in percent. */
  get load(): string {
    const percent = Math.round(this.factor * 100);
    return [this.running, this.waiting.length, this.slots, percent].join();
  }

  /** Starts a request when it has a slot; returns false if it is not accepted. */
  enter(id: string, response: ServerResponse, start: () => void): boolean {
    if (this.running < this.slots) this.run(response, start);
    else if (this.waiting.length >= this.slots) return false;
    else {
      const wait: Wait = { id, fromMs: performance.now(), untilMs: undefined };
      this.waits.push(wait);
      const waiting = { response, wait, start };
      this.waiting.push(waiting);
      response.on('close', () => this.leave(waiting));
    }
    return true;
  }

  private run(response: ServerResponse, start: () => void): void {
    this.running += 1;
    response.on('close', () => {
      this.running -= 1;
      this.next();
    });
    start();
  }

  private next(): void {
    const [first] = this.waiting;
    if (!first) return;
    this.leave(first);
    this.run(first.response, first.start);
  }

  private leave(waiting: Waiting): void {
    const at = this.waiting.indexOf(waiting);
    if (at < 0) return;
    this.waiting.splice(at, 1);
    const { wait } = waiting;
    wait.untilMs = performance.now();
  }
}
