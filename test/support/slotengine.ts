import type { Clock, Ms } from '../../src/base/index.js';
import type { UpstreamLink } from '../../src/port/index.js';

const UNREAD = { bytes: 0, pieces: 0 };

type Send = Parameters<UpstreamLink['send']>;

const FIRST_EVENT_MS = 10;
const GAP_MS = 40;
const EVENT = Buffer.from('data: x\n\n');
const HEAD = { status: 200, headers: [], isNotRun: false, isForRequest: true, hasLength: false };
const ignore = () => {};

/** An engine with slots that streams events; requests beyond its slots wait inside it. */
export class SlotEngine {
  readonly running = new Set<Send[1]>();

  isFrozen = false;

  private isDown = false;

  private readonly queue: (() => void)[] = [];

  constructor(
    readonly id: string,
    readonly slots: number,
    private readonly clock: Clock,
  ) {}

  /** Runs a request that takes a slot for `takesMs`. */
  send([call, receiver]: Send, takesMs: Ms): ReturnType<UpstreamLink['send']> {
    if (!call.maySend()) return undefined;
    if (this.isDown) {
      const lost = { type: 'upstream-unreachable', detail: '', mayHaveRun: false } as const;
      this.clock.after(1, () => receiver.failed(lost));
      return { isSent: false, received: UNREAD, cancel: ignore, resume: ignore };
    }
    const begin = () => {
      this.running.add(receiver);
      this.clock.after(FIRST_EVENT_MS, () => {
        const load = { running: this.running.size, waiting: this.queue.length };
        if (this.runs(receiver)) receiver.head({ ...HEAD, load });
        this.stream(receiver, takesMs - FIRST_EVENT_MS);
      });
    };
    if (this.running.size < this.slots) begin();
    else this.queue.push(begin);
    const cancel = () => {
      if (this.queue.includes(begin)) this.queue.splice(this.queue.indexOf(begin), 1);
      else if (this.running.delete(receiver)) this.queue.shift()?.();
    };
    return { isSent: true, received: UNREAD, cancel, resume: ignore };
  }

  /** Breaks all connections; no new ones open. */
  crash(): void {
    this.isDown = true;
    const receivers = [...this.running];
    this.running.clear();
    this.queue.length = 0;
    for (const receiver of receivers) {
      receiver.failed({ type: 'upstream-lost', detail: '', mayHaveRun: true });
    }
  }

  restart(): void {
    this.isDown = false;
  }

  private runs(receiver: Send[1]): boolean {
    return this.running.has(receiver) && !this.isFrozen;
  }

  private stream(receiver: Send[1], leftMs: Ms): void {
    if (!this.runs(receiver)) return;
    receiver.data(EVENT);
    this.clock.after(Math.min(GAP_MS, leftMs), () => {
      if (leftMs > GAP_MS) this.stream(receiver, leftMs - GAP_MS);
      else if (this.runs(receiver)) {
        this.running.delete(receiver);
        receiver.end();
        this.queue.shift()?.();
      }
    });
  }
}
