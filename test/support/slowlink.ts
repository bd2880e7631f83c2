import type { Ms, VirtualClock } from '../../src/base/index.js';
import type { Channel, Http1Receiver } from '../../src/shell/http1/index.js';

const LATENCY_MS = 3;
const SEGMENT_BYTES = 8192;

/** A link that carries the answers to one entry; concurrent ones share it segment by segment. */
export class SlowLink {
  private freeAtMs: Ms = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly bytesPerMs: number,
  ) {}

  /** Returns a channel whose calls are answered by `handle` over this link. */
  channelTo(handle: () => Promise<object>): Channel {
    const send = (_call: unknown, receiver: Http1Receiver) => {
      let isOver = false;
      this.clock.after(LATENCY_MS, () => {
        void handle().then((answer) => {
          this.deliver(Buffer.from(JSON.stringify(answer)), receiver, () => isOver);
        });
      });
      const cancel = () => {
        isOver = true;
      };
      return { isSent: true, cancel, resume() {} };
    };
    return { send } as unknown as Channel;
  }

  private deliver(rest: Buffer, receiver: Http1Receiver, isOver: () => boolean): void {
    if (isOver()) return;
    const nowMs = this.clock.nowMs();
    const segment = rest.subarray(0, SEGMENT_BYTES);
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + segment.length / this.bytesPerMs;
    this.clock.after(this.freeAtMs - nowMs + LATENCY_MS, () => {
      if (isOver()) return;
      receiver.data(segment);
      if (segment.length === rest.length) receiver.end();
      else this.deliver(rest.subarray(SEGMENT_BYTES), receiver, isOver);
    });
  }
}
