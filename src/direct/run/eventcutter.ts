import { splitEvents } from '../../shell/engine/index.js';

/** Passes only whole events of a stream, and knows the id of the last one passed. */
export class EventCutter {
  private split = splitEvents();

  lastId: string | undefined;

  /** What of the stream can go on now. */
  take(chunk: Buffer): Buffer | undefined {
    const pieces = this.split(chunk);
    const payloads: Buffer[] = [];
    for (const { payload, resumeToken } of pieces) {
      payloads.push(payload);
      if (resumeToken !== undefined) this.lastId = resumeToken;
    }
    return payloads.length > 0 ? Buffer.concat(payloads) : undefined;
  }

  /** Forgets an event that did not arrive whole: it comes again from another upstream. */
  restart(): void {
    this.split = splitEvents();
  }
}
