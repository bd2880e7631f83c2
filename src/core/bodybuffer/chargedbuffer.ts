import { BodyBuffer } from './bodybuffer.js';

/** A body whose memory is charged to an account for as long as it is kept here. */
export class ChargedBuffer {
  private readonly body: BodyBuffer;

  constructor(
    limitBytes: number,
    /** Takes a change of the memory that is kept: negative when it is given back. */
    private readonly charge: (bytes: number) => void = () => undefined,
  ) {
    this.body = new BodyBuffer(limitBytes, undefined, charge);
  }

  get sizeBytes(): number {
    return this.body.sizeBytes;
  }

  /** Memory that is charged. */
  get capacityBytes(): number {
    return this.body.capacityBytes;
  }

  /** Adds a piece. Returns false, and adds nothing, if the body would be larger than the limit. */
  add(piece: Buffer): boolean {
    return this.body.add(piece);
  }

  /** Returns the body, which is no longer charged. */
  take(): Buffer {
    const { capacityBytes } = this.body;
    const bytes = this.body.take();
    this.giveBack(capacityBytes);
    return bytes;
  }

  /** Discards what was kept. */
  clear(): void {
    const { capacityBytes } = this.body;
    this.body.clear();
    this.giveBack(capacityBytes);
  }

  private giveBack(bytes: number): void {
    if (bytes > 0) this.charge(-bytes);
  }
}
