import { sharedPacer } from './sharedpacer.js';

/** What becomes of an answer's body. */
interface MergerOptions {
  /** Takes the bytes of one read. Returns false to pause the answer until `resume` is called. */
  readonly deliver: (bytes: Buffer) => boolean;
  /** Stops reading from the connection. */
  readonly hold: () => void;
  /** Reads on. */
  readonly release: () => void;
  /** Called with what `deliver` has thrown. */
  readonly failed: (error: Error) => void;
}

/** Chunks of usual sizes have far fewer in one read of 64 KiB. */
const PIECES_PER_TURN = 256;

/** Bound on the pieces of one read, beyond which the rest waits for the next one. */
const MAX_PIECES_PER_READ = 2048;

/**
 * Merges the pieces of a body that the parser reports of one read, one for each chunk, into one block: what receives
 * them then costs memory and time by bytes and not by chunks. Connections with very small chunks are read in turn.
 */
export class PieceMerger {
  /** Slices of the read under way. */
  private pieces: Buffer[] = [];

  /** Number of pieces of the read under way. */
  private pieceCount = 0;

  /** True while the receiver accepts no more data. */
  private isFull = false;

  /** True while the connection waits for its turn. */
  private isWaiting = false;

  private isHeld = false;

  private isOver = false;

  private readonly goOn = () => {
    this.isWaiting = false;
    this.release();
  };

  constructor(private readonly options: MergerOptions) {}

  /** Takes a piece that the parser has reported. */
  add(piece: Buffer): void {
    if (this.isOver) return;
    this.pieceCount += 1;
    this.pieces.push(piece);
    // Runs once the parser has returned from this read.
    if (this.pieces.length === 1) queueMicrotask(() => this.endRead());
    if (this.pieceCount === MAX_PIECES_PER_READ) this.hold();
  }

  /** Delivers what has been taken; has to be called before the end of the answer is reported. */
  flush(): void {
    const { pieces } = this;
    const [first] = pieces;
    if (!first || this.isOver) return;
    this.pieces = [];
    // A copy, as a slice keeps the whole read in memory.
    const bytes = pieces.length === 1 ? Buffer.from(first) : Buffer.concat(pieces);
    if (!this.options.deliver(bytes)) this.isFull = true;
  }

  /** The receiver accepts data again. */
  resume(): void {
    this.isFull = false;
    this.release();
  }

  /** Discards what has not been delivered; nothing is delivered from now on. */
  end(): void {
    this.isOver = true;
    this.pieces = [];
    this.isFull = false;
    this.isWaiting = false;
    sharedPacer.forget(this.goOn);
    // The connection may carry further answers.
    this.release();
  }

  private endRead(): void {
    if (this.isOver) return;
    if (this.pieceCount >= PIECES_PER_TURN && !this.isWaiting) {
      this.isWaiting = true;
      sharedPacer.wait(this.goOn);
    }
    this.pieceCount = 0;
    try {
      this.flush();
    } catch (thrown) {
      this.options.failed(thrown as Error);
    }
    if (this.isFull || this.isWaiting) this.hold();
    else this.release();
  }

  private hold(): void {
    if (this.isOver || this.isHeld) return;
    this.isHeld = true;
    this.options.hold();
  }

  private release(): void {
    if (!this.isHeld || this.isFull || this.isWaiting) return;
    this.isHeld = false;
    this.options.release();
  }
}
