import { LineReader } from './linereader.js';
import { valueStart } from './valuestart.js';

const DATA = Buffer.from('data');
const ID = Buffer.from('id');
const DONE = Buffer.from('[DONE]');
/** An upstream may limit the size of the header in which an id is sent back. */
const MAX_ID_BYTES = 1024;
/** Of longer lines it is only of interest that they have data or an id that is too long. */
const MAX_PARTIAL_BYTES = 2 * MAX_ID_BYTES;
/** Bytes that a header's value cannot hold. */
const UNSENDABLE = /[^\t\x20-\x7e\x80-\xff]/;

function isDone(line: Buffer, start: number, end: number): boolean {
  return end - start === DONE.length && line.subarray(start, end).equals(DONE);
}

/** Follows an event stream as it arrives (HTML standard, "Server-sent events"). */
export class EventReader {
  /** Number of events with data that have ended, except the closing `[DONE]`. */
  eventCount = 0;

  /** True once the closing event `[DONE]` has ended. */
  isDone = false;

  /** True once an event has ended. Comments are not events. */
  hasEvent = false;

  private readonly lines = new LineReader(
    (line, start, end, next) => this.takeLine(line, start, end, next),
    MAX_PARTIAL_BYTES,
  );

  private isInside = false;

  private hasData = false;

  private hasDone = false;

  private hasId = false;

  private id: string | undefined;

  /** Length of the part of the chunk that ends with the last complete event. */
  private completeBytes = 0;

  constructor(
    /**
     * Id of the last event, after which the stream can be continued. Undefined if there is none, if it cannot be sent in
     * a header, or if an event without an id has followed: a continuation after the earlier one would repeat it.
     */
    public position?: string,
  ) {}

  /** True if the last event is incomplete so far. */
  get isInsideEvent(): boolean {
    return this.isInside || this.lines.isInsideLine;
  }

  /** Reads a chunk. Returns the length of its part that ends with the last complete event. */
  read(chunk: Buffer): number {
    this.completeBytes = 0;
    const wasInside = this.isInsideEvent;
    const endOfLine = this.lines.read(chunk);
    return this.completeBytes === 0 && !wasInside ? endOfLine : this.completeBytes;
  }

  private takeLine(line: Buffer, start: number, end: number, next: number): void {
    if (start === end) {
      this.completeBytes = next;
      this.endEvent();
      return;
    }
    this.isInside = true;
    const dataStart = valueStart(line, start, end, DATA);
    if (dataStart !== undefined) {
      this.hasDone = !this.hasData && isDone(line, dataStart, end);
      this.hasData = true;
      return;
    }
    const idStart = valueStart(line, start, end, ID);
    if (idStart !== undefined) this.takeId(line.toString('latin1', idStart, end));
  }

  /** Takes an id whose bytes stand for one character each, as they are written to a header. */
  private takeId(id: string): void {
    // The standard has such an id ignored.
    if (id.includes('\0')) return;
    const isUsable = id !== '' && id.length <= MAX_ID_BYTES && !UNSENDABLE.test(id);
    this.hasId = true;
    this.id = isUsable ? id : undefined;
  }

  private endEvent(): void {
    this.hasEvent ||= this.hasData || this.hasId;
    if (this.hasDone) this.isDone = true;
    else if (this.hasData) this.eventCount += 1;
    if (this.hasId) this.position = this.id;
    else if (this.hasData && !this.hasDone) this.position = undefined;
    this.isInside = false;
    this.hasData = false;
    this.hasDone = false;
    this.hasId = false;
  }
}
