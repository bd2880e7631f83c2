const FIRST_BLOCK_BYTES = 4096;
const BLOCK_BYTES = 65_536;

/**
 * The part of a body that has been read. Chunks are copied into blocks, so that the memory that a body takes
 * follows its length: a chunk of its own is an object of 100 bytes or more, whatever its length.
 */
export class BodyBuffer {
  private readonly blocks: Buffer[] = [];

  /** Free bytes at the end of the last block. */
  private freeBytes = 0;

  /** Bytes of the body. */
  sizeBytes = 0;

  /** Memory that the blocks take. */
  capacityBytes = 0;

  constructor(
    private readonly limitBytes: number,
    /** Length that the message declares; undefined for a chunked body. */
    private readonly declaredBytes: number | undefined,
    /** Called before a block is added, with its size. */
    private readonly onGrow: (bytes: number) => void = () => undefined,
  ) {}

  /** Adds a chunk. Returns false, and adds nothing, if the body would be larger than the limit. */
  add(chunk: Buffer): boolean {
    if (this.sizeBytes + chunk.length > this.limitBytes) return false;
    let from = 0;
    while (from < chunk.length) {
      if (this.freeBytes === 0) this.grow(chunk.length - from);
      const block = this.blocks.at(-1)!;
      const copied = chunk.copy(block, block.length - this.freeBytes, from);
      this.freeBytes -= copied;
      from += copied;
      this.sizeBytes += copied;
    }
    return true;
  }

  /** Returns the body and gives up the blocks. */
  take(): Buffer {
    const [first] = this.blocks;
    const isSingle = this.blocks.length === 1;
    const body = isSingle
      ? first!.subarray(0, this.sizeBytes)
      : Buffer.concat(this.blocks, this.sizeBytes);
    this.clear();
    return body;
  }

  /** Gives up what was read. */
  clear(): void {
    this.blocks.length = 0;
    this.freeBytes = 0;
    this.sizeBytes = 0;
    this.capacityBytes = 0;
  }

  private grow(neededBytes: number): void {
    const restBytes = (this.declaredBytes ?? this.limitBytes) - this.sizeBytes;
    const usualBytes = this.blocks.length === 0 ? FIRST_BLOCK_BYTES : BLOCK_BYTES;
    const wantedBytes = this.declaredBytes === undefined ? usualBytes : restBytes;
    const bytes = Math.max(1, Math.min(BLOCK_BYTES, Math.max(wantedBytes, neededBytes), restBytes));
    this.onGrow(bytes);
    // Not from Node's pool, whose pages stay in use for as long as one slice does.
    this.blocks.push(Buffer.allocUnsafeSlow(bytes));
    this.capacityBytes += bytes;
    this.freeBytes = bytes;
  }
}
