import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Ms } from '../../src/base/index.js';

/** Faults of the stand-in store. Shares lie between 0 and 1; each is drawn from the seed. */
export interface StoreFaults {
  readonly seed?: number;
  /** Times of the clock in which the store refuses every call, or answers late. */
  readonly windows?: readonly {
    readonly type: 'outage' | 'slow';
    readonly fromMs: Ms;
    readonly untilMs: Ms;
    readonly delayMs?: Ms;
  }[];
  /** Every call takes up to so long. */
  readonly maxDelayMs?: Ms;
  /** Reads whose answer is lost. */
  readonly lostReadShare?: number;
  /** Writes that take effect and whose answer is lost. */
  readonly lostAnswerShare?: number;
  /** Writes that are lost on their way to the store. */
  readonly lostRequestShare?: number;
  /** Writes whose caller gives up on them and that take effect later. */
  readonly lateWriteShare?: number;
  readonly lateWriteMs?: Ms;
  /** Changes that cut the watch which they would have been told to. */
  readonly watchCutShare?: number;
  /** Renewals that find the lease lapsed, as after a pause of its holder. */
  readonly leaseLapseShare?: number;
  /** The history is compacted after so many writes; 0 never. */
  readonly compactEveryWrites?: number;
}

const RESOLUTION = 1_000_000;

/** What happens to one call. */
interface Fate {
  readonly type: 'done' | 'refused' | 'request-lost' | 'answer-lost' | 'late';
  readonly delayMs: Ms;
}

/** Draws the fate of each call, always the same for a seed and an order of calls. */
export class FaultSource {
  /** The store refuses every call while this is set. */
  down = false;

  /** The next so many writes take effect and lose their answer. */
  loseAnswers = 0;

  /** The next so many writes are lost before they take effect. */
  loseRequests = 0;

  private readonly generator;

  private writes = 0;

  constructor(private readonly faults: StoreFaults) {
    this.generator = xoroshiro128plus(faults.seed ?? 1);
  }

  next(kind: 'read' | 'write', nowMs: Ms): Fate {
    const { maxDelayMs = 0, windows = [] } = this.faults;
    const drawnMs = maxDelayMs > 0 ? uniformInt(this.generator, 0, maxDelayMs) : 0;
    const open = windows.filter(({ fromMs, untilMs }) => fromMs <= nowMs && nowMs < untilMs);
    const slowMs = open.reduce((sum, { delayMs = 0 }) => sum + delayMs, 0);
    const delayMs = drawnMs + slowMs;
    if (this.down || open.some(({ type }) => type === 'outage')) {
      return { type: 'refused', delayMs };
    }
    if (kind === 'write') return { type: this.writeFate(), delayMs };
    return { type: this.draw(this.faults.lostReadShare) ? 'refused' : 'done', delayMs };
  }

  /** How much later a late write takes effect. */
  lateMs(): Ms {
    const { lateWriteMs = 0 } = this.faults;
    return lateWriteMs > 0 ? uniformInt(this.generator, 1, lateWriteMs) : 0;
  }

  cutsWatch(): boolean {
    return this.draw(this.faults.watchCutShare);
  }

  lapsesLease(): boolean {
    return this.draw(this.faults.leaseLapseShare);
  }

  /** Counts a write; true when the history is to be compacted now. */
  compacts(): boolean {
    this.writes += 1;
    const { compactEveryWrites = 0 } = this.faults;
    return compactEveryWrites > 0 && this.writes % compactEveryWrites === 0;
  }

  private writeFate(): Fate['type'] {
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      return 'answer-lost';
    }
    if (this.loseRequests > 0) {
      this.loseRequests -= 1;
      return 'request-lost';
    }
    if (this.draw(this.faults.lostAnswerShare)) return 'answer-lost';
    if (this.draw(this.faults.lateWriteShare)) return 'late';
    return this.draw(this.faults.lostRequestShare) ? 'request-lost' : 'done';
  }

  private draw(share = 0): boolean {
    if (share <= 0) return false;
    return uniformInt(this.generator, 0, RESOLUTION - 1) < share * RESOLUTION;
  }
}
