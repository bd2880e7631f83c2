import { Socket } from 'node:net';
import { FailureError } from '../../base/index.js';

/** Bytes that the parser gets at a time: what it reports of them in very small chunks takes little time. */
const SLICE_BYTES = 8192;

/** Bound on a head or a trailer, and on what may stand between two parts of a body. */
const MAX_UNUSED_BYTES = 65_536;

/** Bound on the lines of a head or a trailer. The parser keeps objects for each field, however short. */
const MAX_FIELD_LINES = 256;

/** Bytes of an answer beside its body. Chunks of one byte have five times as many. */
const MAX_FRAMING_BYTES = 262_144;
const MAX_FRAMING_RATIO = 16;

const LF = 0x0a;
const CR = 0x0d;

/** Returns the number of lines in `bytes` before the first empty one. */
function countLines(bytes: Buffer): number {
  let count = 0;
  for (let at = bytes.indexOf(LF); at >= 0; at = bytes.indexOf(LF, at + 1)) {
    count += 1;
    const next = bytes[at + 1];
    if (next === LF || (next === CR && bytes[at + 2] === LF)) return count;
  }
  return count;
}

/**
 * Connection to an upstream. Hands the parser what was read in slices, and closes once the peer has sent more outside a
 * body than an answer can have: the parser bounds the size of header fields only, and creates an error for each field
 * beyond that.
 */
export class AnswerSocket extends Socket {
  /** Bytes that the parser has taken. */
  private takenBytes = 0;

  /** The same when the last request was sent. */
  private takenBefore = 0;

  /** The same when a head or a part of a body was last found. */
  private takenAtProgress = 0;

  /** Lines that the parser has taken since then. */
  private fieldLines = 0;

  /** True until a head was found. */
  private isBeforeHead = true;

  /** Body bytes of the answer to the last request. */
  private bodyBytes = 0;

  private isHeld = false;

  /** Has to be called when a request is sent. */
  begin(): void {
    this.takenBefore = this.takenBytes;
    this.takenAtProgress = this.takenBytes;
    this.fieldLines = 0;
    this.isBeforeHead = true;
    this.bodyBytes = 0;
  }

  /** Has to be called when a head or a part of a body was found. */
  progress(bodyBytes: number): void {
    this.bodyBytes += bodyBytes;
    this.takenAtProgress = this.takenBytes;
    this.fieldLines = 0;
    this.isBeforeHead = false;
  }

  /**
   * Gives the parser nothing until `release` is called. A paused parser throws when its connection ends, and would have
   * to be given again what it has not taken.
   */
  hold(): void {
    this.isHeld = true;
  }

  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    if (!this.destroyed) this.emit('readable');
  }

  override read(size?: number): Buffer | null {
    const waitingBytes = this.readableLength;
    if (size === 0 || waitingBytes === 0) return super.read(size) as Buffer | null;
    if (this.isHeld) return null;
    const unusedBytes = this.takenBytes - this.takenAtProgress;
    const restBytes = MAX_UNUSED_BYTES - unusedBytes;
    if (this.destroyed || restBytes <= 0 || this.hasMuchFraming) return this.reject();
    const bytes = super.read(Math.min(waitingBytes, restBytes, SLICE_BYTES)) as Buffer | null;
    if (!bytes) return null;
    if (this.isBeforeHead || unusedBytes > 0) this.fieldLines += countLines(bytes);
    if (this.fieldLines > MAX_FIELD_LINES) return this.reject();
    this.takenBytes += bytes.length;
    return bytes;
  }

  private reject(): null {
    const detail = 'The answer has more bytes outside its body than an answer can have.';
    this.destroy(new FailureError({ type: 'answer-malformed', detail }));
    return null;
  }

  private get hasMuchFraming(): boolean {
    const framingBytes = this.takenBytes - this.takenBefore - this.bodyBytes;
    return framingBytes > MAX_FRAMING_BYTES + this.bodyBytes * MAX_FRAMING_RATIO;
  }
}
