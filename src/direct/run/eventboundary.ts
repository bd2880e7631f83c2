/** An event of a stream ends with an empty line. */
const EVENT_END = /(\r\n\r\n|\n\n|\r\r)$/;
/** Length of the longest such end. */
const TAIL_BYTES = 4;

/** Detects whether a stream stands between two events, so that a broken stream can be told from a whole one. */
export class EventBoundary {
  private tail = '';

  constructor(
    /** True if the stream may be whole without any event. */
    private readonly mayBeEmpty: boolean,
  ) {}

  take(chunk: Buffer): void {
    const end = chunk.subarray(-TAIL_BYTES).toString('latin1');
    this.tail = (this.tail + end).slice(-TAIL_BYTES);
  }

  get isInsideEvent(): boolean {
    return this.tail === '' ? !this.mayBeEmpty : !EVENT_END.test(this.tail);
  }
}
