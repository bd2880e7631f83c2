import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Ms } from '../../src/base/index.js';

/** Faults of the stand-in store. Shares are probabilities from 0 to 1, drawn from the seed. */
export interface StoreFaults {
  readonly seed?: number;
  /** Periods in which the store refuses every call (`outage`) or delays it (`slow`). */
  readonly windows?: readonly {
    readonly type: 'outage' | 'slow';
    readonly fromMs: Ms;
    readonly untilMs: Ms;
    readonly delayMs?: Ms;
  }[];
  /** Maximum random delay of a call. */
  readonly maxDelayMs?: Ms;
  /** Share of reads whose answer is lost. */
  readonly lostReadShare?: number;
  /** Share of writes that take effect although their answer is lost. */
  readonly lostAnswerShare?: number;
  /** Share of writes that are lost on their way to the store. */
  readonly lostRequestShare?: number;
  /** Share of writes that take effect only after their caller has given up. */
  readonly lateWriteShare?: number;
  /** Maximum delay of such a write. */
  readonly lateWriteMs?: Ms;
  /** Share of change notifications that cut their watch instead. */
  readonly watchCutShare?: number;
  /** Share of renewals that find the lease lapsed, as after a suspension of its holder. */
  readonly leaseLapseShare?: number;
  /** Number of writes after which the history is compacted; 0: never. */
  readonly compactEveryWrites?: number;
}

const RESOLUTION = 1_000_000;

/** The outcome of one call. */
interface CallOutcome {
  readonly type: 'done' | 'refused' | 'request-lost' | 'answer-lost' | 'late';
  readonly delayMs: Ms;
}

/** Draws the outcome of each call; deterministic for a given seed and sequence of calls. */
export class FaultSource {
  /** While true, the store refuses every call. */
  down = false;

  /** Number of next writes that take effect although their answer is lost. */
  answersToLose = 0;

  /** Number of next writes that are lost before they take effect. */
  requestsToLose = 0;

  private readonly generator;

  private writes = 0;

  constructor(private readonly faults: StoreFaults) {
    this.generator = xoroshiro128plus(faults.seed ?? 1);
  }

  next(kind: 'read' | 'write', nowMs: Ms): CallOutcome {
    const { maxDelayMs = 0, windows = [] } = this.faults;
    const drawnMs = maxDelayMs > 0 ? uniformInt(this.generator, 0, maxDelayMs) : 0;
    const open = windows.filter(({ fromMs, untilMs }) => fromMs <= nowMs && nowMs < untilMs);
    const slowMs = open.reduce((sum, { delayMs = 0 }) => sum + delayMs, 0);
    const delayMs = drawnMs + slowMs;
    if (this.down || open.some(({ type }) => type === 'outage')) {
      return { type: 'refused', delayMs };
    }
    if (kind === 'write') return { type: this.writeOutcome(), delayMs };
    return { type: this.draw(this.faults.lostReadShare) ? 'refused' : 'done', delayMs };
  }

  /** Draws the delay after which a late write takes effect. */
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

  /** Counts a write; returns true if the history has to be compacted now. */
  compacts(): boolean {
    this.writes += 1;
    const { compactEveryWrites = 0 } = this.faults;
    return compactEveryWrites > 0 && this.writes % compactEveryWrites === 0;
  }

  private writeOutcome(): CallOutcome['type'] {
    if (this.answersToLose > 0) {
      this.answersToLose -= 1;
      return 'answer-lost';
    }
    if (this.requestsToLose > 0) {
      this.requestsToLose -= 1;
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
