const LF = 0x0a;
const CR = 0x0d;
const EMPTY = Buffer.alloc(0);
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);

/**
 * Takes a complete line, without its end: `bytes` from `start` to `end`, which may be overwritten afterwards. The next
 * line begins at `next` of the chunk.
 */
type OnLine = (bytes: Buffer, start: number, end: number, next: number) => void;

/** Splits bytes that arrive in chunks into lines, each of which ends with LF, CR LF or CR. */
export class LineReader {
  /** Holds the first bytes of a line whose end has not arrived; grows by doubling, so that small pieces cost little. */
  private partial: Buffer = EMPTY;

  private partialBytes = 0;

  /** True if the last byte read was a CR: an LF that follows belongs to the same line end. */
  private isAfterCr = false;

  private isFirst = true;

  constructor(
    private readonly onLine: OnLine,
    /** Of a line that spans chunks, only this many bytes are kept. */
    private readonly maxPartialBytes = Infinity,
  ) {}

  /** True if the last line is incomplete so far. */
  get isInsideLine(): boolean {
    return this.partialBytes > 0;
  }

  /** Reads a chunk. Returns the number of its first bytes that belong to the end of the line before. */
  read(chunk: Buffer): number {
    if (chunk.length === 0) return 0;
    const first = this.isAfterCr && chunk[0] === LF ? 1 : 0;
    this.isAfterCr = chunk[chunk.length - 1] === CR;
    let start = first;
    let lf = chunk.indexOf(LF, start);
    let cr = chunk.indexOf(CR, start);
    while (lf >= 0 || cr >= 0) {
      const isCr = cr >= 0 && (lf < 0 || cr < lf);
      const end = isCr ? cr : lf;
      const next = isCr && chunk[end + 1] === LF ? end + 2 : end + 1;
      this.takeLine(chunk, start, end, next);
      start = next;
      if (lf >= 0 && lf < start) lf = chunk.indexOf(LF, start);
      if (cr >= 0 && cr < start) cr = chunk.indexOf(CR, start);
    }
    this.keep(chunk, start, chunk.length);
    return first;
  }

  private takeLine(chunk: Buffer, start: number, end: number, next: number): void {
    if (this.partialBytes > 0) {
      this.keep(chunk, start, end);
      const lineBytes = this.partialBytes;
      this.partialBytes = 0;
      this.emit(this.partial, 0, lineBytes, next);
    } else {
      this.emit(chunk, start, end, next);
    }
  }

  private emit(bytes: Buffer, start: number, end: number, next: number): void {
    const { onLine, isFirst } = this;
    this.isFirst = false;
    const markEnd = start + BYTE_ORDER_MARK.length;
    const hasMark =
      isFirst && markEnd <= end && bytes.subarray(start, markEnd).equals(BYTE_ORDER_MARK);
    onLine(bytes, hasMark ? markEnd : start, end, next);
  }

  private keep(chunk: Buffer, start: number, end: number): void {
    const addedBytes = Math.min(end - start, this.maxPartialBytes - this.partialBytes);
    if (addedBytes <= 0) return;
    const neededBytes = this.partialBytes + addedBytes;
    if (neededBytes > this.partial.length) {
      const grown = Buffer.allocUnsafe(Math.max(neededBytes, 2 * this.partial.length));
      this.partial.copy(grown, 0, 0, this.partialBytes);
      this.partial = grown;
    }
    chunk.copy(this.partial, this.partialBytes, start, start + addedBytes);
    this.partialBytes = neededBytes;
  }
}
