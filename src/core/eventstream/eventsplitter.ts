import { ChargedBuffer } from '../bodybuffer/index.js';
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

  /** The first bytes of the incomplete event. */
  private readonly rest: ChargedBuffer;

  /** True once an incomplete event is larger than an event can be; its end is not to be waited for. */
  isEventTooLarge = false;

  constructor(
    /** Id after which the stream continues an earlier one. */
    position?: string,
    /** Takes changes of the memory that the incomplete event takes. */
    charge?: (bytes: number) => void,
  ) {
    this.reader = new EventReader(position);
    this.rest = new ChargedBuffer(MAX_EVENT_BYTES, charge);
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
    if (this.isEventTooLarge) return undefined;
    const completeBytes = reader.read(chunk);
    if (completeBytes === 0) {
      this.hold(chunk);
      return undefined;
    }
    const last = chunk.subarray(0, completeBytes);
    const payload = this.rest.sizeBytes === 0 ? last : Buffer.concat([this.rest.take(), last]);
    if (completeBytes < chunk.length) this.hold(chunk.subarray(completeBytes));
    return {
      payload,
      tokenCount: reader.eventCount - eventCount,
      resumeToken: reader.position,
    };
  }

  /** Discards the incomplete event. Nothing may be read afterwards. */
  clear(): void {
    this.rest.clear();
  }

  private hold(bytes: Buffer): void {
    if (!this.isEventTooLarge && this.rest.add(bytes)) return;
    this.isEventTooLarge = true;
    this.rest.clear();
  }
}
