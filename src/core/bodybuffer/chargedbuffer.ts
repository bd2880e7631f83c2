import { BodyBuffer } from './bodybuffer.js';

/** A piece in memory of this size, such as Node's pool, is kept as it is: most bodies are one such piece. */
const MAX_SINGLE_BYTES = 8192;
/** Charged for it; the first block of a body takes as much. */
const SINGLE_BYTES = 4096;

/** A body whose memory is charged to an account for as long as it is kept here. */
export class ChargedBuffer {
  private readonly body: BodyBuffer;

  /** The only piece so far, if it is kept as it is. */
  private single: Buffer | undefined;

  constructor(
    private readonly limitBytes: number,
    /** Takes a change of the memory that is kept: negative when it is given back. */
    private readonly charge: (bytes: number) => void = () => undefined,
  ) {
    this.body = new BodyBuffer(limitBytes, undefined, charge);
  }

  get sizeBytes(): number {
    return this.single?.length ?? this.body.sizeBytes;
  }

  /** Memory that is charged. */
  get capacityBytes(): number {
    return this.single ? SINGLE_BYTES : this.body.capacityBytes;
  }

  /** Adds a piece, which is not changed any more. Returns false, and adds nothing, if the body would be too large. */
  add(piece: Buffer): boolean {
    if (this.sizeBytes + piece.length > this.limitBytes) return false;
    const isSmall = piece.length <= SINGLE_BYTES && piece.buffer.byteLength <= MAX_SINGLE_BYTES;
    if (isSmall && this.sizeBytes === 0) {
      this.clear();
      this.single = piece;
      this.charge(SINGLE_BYTES);
      return true;
    }
    const { single } = this;
    if (single) {
      this.clear();
      this.body.add(single);
    }
    return this.body.add(piece);
  }

  /** Returns the body, which is no longer charged. */
  take(): Buffer {
    const { capacityBytes, single } = this;
    const bytes = single ?? this.body.take();
    this.single = undefined;
    this.giveBack(capacityBytes);
    return bytes;
  }

  /** Discards what was kept. */
  clear(): void {
    const { capacityBytes } = this;
    this.single = undefined;
    this.body.clear();
    this.giveBack(capacityBytes);
  }

  private giveBack(bytes: number): void {
    if (bytes > 0) this.charge(-bytes);
  }
}
