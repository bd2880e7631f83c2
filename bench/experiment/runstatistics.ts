import type { Flight } from './flight.js';

/** How a request ended. */
export type Ending = 'answered' | 'refused' | 'lost';

const PACE_GOAL_MS = 53;
const BUCKETS = 60;

interface MutableShare {
  asked: number;
  inTime: number;
  weight: number;
  attained: number;
}

/** Counts over one group of requests: a kind, a priority or a customer. */
export interface Share {
  readonly asked: number;
  readonly inTime: number;
  readonly weight: number;
  readonly attained: number;
}

/** Waits of one priority in one interval of the run. */
export interface WaitPoint {
  readonly atMs: number;
  readonly priority: string;
  readonly p50Ms: number;
  readonly p95Ms: number;
}

function add(sums: Map<string, MutableShare>, name: string, weight: number, inTime: boolean): void {
  const sum = sums.get(name) ?? { asked: 0, inTime: 0, weight: 0, attained: 0 };
  sums.set(name, sum);
  sum.asked += 1;
  sum.weight += weight;
  if (!inTime) return;
  sum.inTime += 1;
  sum.attained += weight;
}

/** Returns the given quantile of sorted numbers. */
function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Collects the results of one run. */
export class RunStatistics {
  private readonly sums = {
    all: new Map<string, MutableShare>(),
    kind: new Map<string, MutableShare>(),
    priority: new Map<string, MutableShare>(),
    customer: new Map<string, MutableShare>(),
  };

  private readonly endings: Record<Ending, number> = { answered: 0, refused: 0, lost: 0 };

  private readonly refusals = new Map<string, number>();

  private readonly waits = new Map<string, number[]>();

  private readonly attainedIn: number[] = new Array<number>(BUCKETS).fill(0);

  private readonly movesIn: number[] = new Array<number>(BUCKETS).fill(0);

  private readonly answeredAt = new Map<string, number[]>();

  private paceKept = 0;

  private paced = 0;

  /** Retries of refused requests; excluded from all other counts. */
  private readonly retried = { asked: 0, answered: 0, inTime: 0 };

  preemptions = 0;

  loads = 0;

  unloads = 0;

  constructor(private readonly durationMs: number) {}

  /**
   * Records a complete answer. An engine's answer is in time if its first token meets the deadline and its last
   * follows within 53 ms for each further token.
   */
  answered(flight: Flight, nowMs: number): void {
    const { ask, deadlineAtMs, firstAtMs } = flight;
    const lastDueAtMs = deadlineAtMs + PACE_GOAL_MS * (ask.outputTokens - 1);
    const inTime = ask.model
      ? firstAtMs <= deadlineAtMs && nowMs <= lastDueAtMs
      : nowMs <= deadlineAtMs;
    this.end(flight, 'answered', inTime, nowMs);
    if (ask.model && ask.outputTokens > 1 && flight.preemptions === 0) {
      this.paced += 1;
      if (nowMs - firstAtMs <= PACE_GOAL_MS * (ask.outputTokens - 1)) this.paceKept += 1;
    }
    if (!ask.model) return;
    const times = this.answeredAt.get(ask.model) ?? [];
    this.answeredAt.set(ask.model, times);
    times.push(nowMs);
  }

  refused(flight: Flight, reason: string, nowMs: number): void {
    if (!flight.isRetry) this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
    this.end(flight, 'refused', false, nowMs);
  }

  lost(flight: Flight, nowMs: number): void {
    this.end(flight, 'lost', false, nowMs);
  }

  waited({ ask }: Flight, waitMs: number): void {
    const name = `${this.bucket(ask.atMs)} ${ask.kind.priority}`;
    const waits = this.waits.get(name) ?? [];
    this.waits.set(name, waits);
    waits.push(waitMs);
  }

  recordMove(type: 'loads' | 'unloads', nowMs: number): void {
    this[type] += 1;
    this.movesIn[this.bucket(nowMs)]! += 1;
  }

  summary(accelerators: number) {
    const all = this.share('all').all ?? { asked: 0, inTime: 0, weight: 0, attained: 0 };
    const minutes = this.durationMs / 60_000;
    return {
      asked: all.asked,
      inTime: all.inTime,
      weight: all.weight,
      attained: all.attained,
      attainmentPerAcceleratorMinute: all.attained / accelerators / minutes,
      ...this.endings,
      refusals: Object.fromEntries(this.refusals),
      paceKept: this.paced > 0 ? this.paceKept / this.paced : 1,
      preemptions: this.preemptions,
      retried: this.retried,
      moves: this.loads + this.unloads,
      loads: this.loads,
      unloads: this.unloads,
      kinds: this.share('kind'),
      priorities: this.share('priority'),
      customers: this.share('customer'),
      waits: this.waitPoints(),
      attainedOverTime: this.attainedIn,
      movesOverTime: this.movesIn,
      longestAnswerGapMs: this.answerGaps(),
    };
  }

  private end(flight: Flight, ending: Ending, inTime: boolean, nowMs: number): void {
    const { kind, customer } = flight.ask;
    if (flight.isRetry) {
      this.retried.asked += 1;
      if (ending === 'answered') this.retried.answered += 1;
      if (inTime) this.retried.inTime += 1;
      return;
    }
    this.endings[ending] += 1;
    add(this.sums.all, 'all', kind.weight, inTime);
    add(this.sums.kind, kind.name, kind.weight, inTime);
    add(this.sums.priority, kind.priority, kind.weight, inTime);
    add(this.sums.customer, customer, kind.weight, inTime);
    if (inTime) this.attainedIn[this.bucket(nowMs)]! += kind.weight;
  }

  private bucket(atMs: number): number {
    return Math.min(BUCKETS - 1, Math.floor((atMs / this.durationMs) * BUCKETS));
  }

  private share(by: keyof RunStatistics['sums']): Readonly<Record<string, Share>> {
    return Object.fromEntries(this.sums[by]);
  }

  private waitPoints(): readonly WaitPoint[] {
    return [...this.waits].map(([name, waits]) => {
      const [bucket = '0', priority = ''] = name.split(' ');
      const sorted = waits.sort((a, b) => a - b);
      const atMs = (Number(bucket) * this.durationMs) / BUCKETS;
      return { atMs, priority, p50Ms: quantile(sorted, 0.5), p95Ms: quantile(sorted, 0.95) };
    });
  }

  /** Returns the longest time without an answer of each model, including the start and end of the run. */
  private answerGaps(): Readonly<Record<string, number>> {
    const answerGaps = [...this.answeredAt].map(([model, times]) => {
      const pointsMs = [0, ...times.filter((atMs) => atMs < this.durationMs), this.durationMs];
      const gaps = pointsMs.slice(1).map((atMs, index) => atMs - pointsMs[index]!);
      return [model, Math.max(...gaps)] as const;
    });
    return Object.fromEntries(answerGaps);
  }
}
