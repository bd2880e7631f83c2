import { EventReader } from './eventreader.js';

/** One or more complete events of a stream. */
interface Piece {
  readonly payload: Buffer;
  /** Number of events with data, except the closing `[DONE]`. */
  readonly tokenCount: number;
  /** Id after which the stream can be continued; undefined if it cannot be continued after this piece. */
  readonly resumeToken: string | undefined;
}

/** Bound on one event, which is buffered until it is complete. */
const MAX_EVENT_BYTES = 262_144;

/** Splits a byte stream at the end of events. An incomplete event is buffered until the next chunk. */
export class EventSplitter {
  private readonly reader: EventReader;

  private rest: Buffer[] = [];

  private restBytes = 0;

  /** `position` is the id after which the stream continues an earlier one. */
  constructor(position?: string) {
    this.reader = new EventReader(position);
  }

  /** True if the incomplete event is larger than an event can be; its end is not to be waited for. */
  get isEventTooLarge(): boolean {
    return this.restBytes > MAX_EVENT_BYTES;
  }

  /** True if the last event is incomplete so far. */
  get isInsideEvent(): boolean {
    return this.reader.isInsideEvent;
  }

  /** True once an event has ended. */
  get hasEvent(): boolean {
    return this.reader.hasEvent;
  }

  /** True once the closing event `[DONE]` has come. */
  get isDone(): boolean {
    return this.reader.isDone;
  }

  /** Returns the complete events that a chunk finishes; undefined if there are none. */
  split(chunk: Buffer): Piece | undefined {
    const { reader } = this;
    const { eventCount } = reader;
    const completeBytes = reader.read(chunk);
    if (completeBytes === 0) {
      this.hold(chunk);
      return undefined;
    }
    const last = chunk.subarray(0, completeBytes);
    const payload = this.rest.length === 0 ? last : Buffer.concat([...this.rest, last]);
    this.rest = [];
    this.restBytes = 0;
    if (completeBytes < chunk.length) this.hold(chunk.subarray(completeBytes));
    return {
      payload,
      tokenCount: reader.eventCount - eventCount,
      resumeToken: reader.position,
    };
  }

  private hold(bytes: Buffer): void {
    this.rest.push(bytes);
    this.restBytes += bytes.length;
  }
}
