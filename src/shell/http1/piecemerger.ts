import { sharedPacer } from './sharedpacer.js';

/** What becomes of an answer's body. */
interface MergerOptions {
  /** Takes the bytes of one read. Returns false to pause the answer until `resume` is called. */
  readonly deliver: (bytes: Buffer) => boolean;
  /** Has the parser go on. */
  readonly resumeParser: () => void;
}

/** Chunks of usual sizes have far fewer in one read of 64 KiB. */
const PIECES_PER_TURN = 256;

/**
 * Merges the pieces of a body that the parser reports of one read, one for each chunk, into one block: what receives
 * them then costs memory and time by bytes and not by chunks. Pauses the parser inside a read of very small chunks.
 */
export class PieceMerger {
  /** Slices of the read under way. */
  private pieces: Buffer[] = [];

  private piecesInTurn = 0;

  /** True while the receiver accepts no more data. */
  private isFull = false;

  private isWaiting = false;

  private isOver = false;

  private readonly goOn = () => {
    this.isWaiting = false;
    this.piecesInTurn = 0;
    if (!this.isFull && !this.isOver) this.options.resumeParser();
  };

  constructor(private readonly options: MergerOptions) {}

  /** Takes a piece. Returns false if the parser has to pause. */
  add(piece: Buffer): boolean {
    if (this.isOver) return true;
    this.piecesInTurn += 1;
    this.pieces.push(piece);
    // Runs once the parser has returned from this read.
    if (this.pieces.length === 1) queueMicrotask(() => this.endRead());
    if (this.piecesInTurn >= PIECES_PER_TURN && !this.isWaiting) {
      this.isWaiting = true;
      sharedPacer.wait(this.goOn);
    }
    return !this.isFull && !this.isWaiting;
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
    if (!this.isWaiting) this.options.resumeParser();
  }

  /** Discards what has not been delivered; nothing is delivered from now on. */
  end(): void {
    this.isOver = true;
    this.pieces = [];
    sharedPacer.forget(this.goOn);
  }

  private endRead(): void {
    if (!this.isWaiting) this.piecesInTurn = 0;
    this.flush();
  }
}
