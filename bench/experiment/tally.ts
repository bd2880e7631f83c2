import type { Flight } from './flight.js';

/** How a request ended. */
export type Ending = 'answered' | 'refused' | 'lost';

const PACE_GOAL_MS = 53;
const BUCKETS = 60;

interface Sum {
  asked: number;
  inTime: number;
  weight: number;
  attained: number;
}

/** Counts of one group of requests: a kind, a priority, a customer. */
export interface Share {
  readonly asked: number;
  readonly inTime: number;
  readonly weight: number;
  readonly attained: number;
}

/** Waits of one priority in one piece of the run. */
export interface WaitPoint {
  readonly atMs: number;
  readonly priority: string;
  readonly p50Ms: number;
  readonly p95Ms: number;
}

function add(sums: Map<string, Sum>, name: string, weight: number, inTime: boolean): void {
  const sum = sums.get(name) ?? { asked: 0, inTime: 0, weight: 0, attained: 0 };
  sums.set(name, sum);
  sum.asked += 1;
  sum.weight += weight;
  if (!inTime) return;
  sum.inTime += 1;
  sum.attained += weight;
}

/** The value that so many of the sorted numbers do not exceed. */
function quantile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

/** Collects what a run is judged by. */
export class Tally {
  private readonly sums = {
    all: new Map<string, Sum>(),
    kind: new Map<string, Sum>(),
    priority: new Map<string, Sum>(),
    customer: new Map<string, Sum>(),
  };

  private readonly endings: Record<Ending, number> = { answered: 0, refused: 0, lost: 0 };

  private readonly refusals = new Map<string, number>();

  private readonly waits = new Map<string, number[]>();

  private readonly attainedIn: number[] = new Array<number>(BUCKETS).fill(0);

  private readonly movesIn: number[] = new Array<number>(BUCKETS).fill(0);

  private readonly answeredAt = new Map<string, number[]>();

  private paceKept = 0;

  private paced = 0;

  /** Requests that were refused and came back when told to; they count nowhere else. */
  private readonly cameBack = { asked: 0, answered: 0, inTime: 0 };

  preemptions = 0;

  loads = 0;

  unloads = 0;

  constructor(private readonly durationMs: number) {}

  /** The answer is whole: was it in time? Engines: first token by the deadline, and the last by 53 ms a token after it. */
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
    if (!flight.cameBack) this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
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

  moved(type: 'loads' | 'unloads', nowMs: number): void {
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
      cameBack: this.cameBack,
      moves: this.loads + this.unloads,
      loads: this.loads,
      unloads: this.unloads,
      kinds: this.share('kind'),
      priorities: this.share('priority'),
      customers: this.share('customer'),
      waits: this.waitPoints(),
      attainedOverTime: this.attainedIn,
      movesOverTime: this.movesIn,
      longestSilenceMs: this.silences(),
    };
  }

  private end(flight: Flight, ending: Ending, inTime: boolean, nowMs: number): void {
    const { kind, customer } = flight.ask;
    if (flight.cameBack) {
      this.cameBack.asked += 1;
      if (ending === 'answered') this.cameBack.answered += 1;
      if (inTime) this.cameBack.inTime += 1;
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

  private share(by: keyof Tally['sums']): Readonly<Record<string, Share>> {
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

  /** Longest time between two answers of each model, from the start to the end of the run. */
  private silences(): Readonly<Record<string, number>> {
    const silences = [...this.answeredAt].map(([model, times]) => {
      const marks = [0, ...times.filter((atMs) => atMs < this.durationMs), this.durationMs];
      const gaps = marks.slice(1).map((atMs, index) => atMs - marks[index]!);
      return [model, Math.max(...gaps)] as const;
    });
    return Object.fromEntries(silences);
  }
}
