import { EventSplitter } from '../../core/eventstream/index.js';

const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);

/** Passes on only complete events of a stream, and keeps the id after which it can be continued. */
export class EventAssembler {
  private splitter: EventSplitter;

  /** True until the first events of a continuation have come. */
  private isContinuing = false;

  /** True from a break inside an event until the next event: that event is still to come. */
  lacksEvent = false;

  lastId: string | undefined;

  /** `charge` takes changes of the memory that an incomplete event takes. */
  constructor(private readonly charge: (bytes: number) => void) {
    this.splitter = new EventSplitter(undefined, charge);
  }

  get isEventTooLarge(): boolean {
    return this.splitter.isEventTooLarge;
  }

  get isInsideEvent(): boolean {
    return this.splitter.isInsideEvent;
  }

  /** True once the answer that is being read has brought an event. */
  get hasEvent(): boolean {
    return this.splitter.hasEvent;
  }

  /** Returns the complete events that a chunk finishes; undefined if there are none. */
  take(chunk: Buffer): Buffer | undefined {
    const piece = this.splitter.split(chunk);
    if (!piece) return undefined;
    const { payload, resumeToken } = piece;
    const { isContinuing } = this;
    this.isContinuing = false;
    this.lastId = resumeToken;
    // Only the first bytes of the caller's stream can be a byte order mark.
    const hasMark =
      isContinuing && payload.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK);
    return hasMark ? payload.subarray(BYTE_ORDER_MARK.length) : payload;
  }

  /** Frees the incomplete event, once nothing more is read of its answer. */
  clear(): void {
    this.splitter.clear();
  }

  /** Discards an incomplete event: another upstream sends it again. */
  restart(): void {
    this.lacksEvent = this.splitter.isInsideEvent || (this.lacksEvent && !this.splitter.hasEvent);
    this.splitter.clear();
    this.splitter = new EventSplitter(this.lastId, this.charge);
    this.isContinuing = this.lastId !== undefined;
  }
}
