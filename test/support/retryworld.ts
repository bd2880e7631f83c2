import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type Ms, type ServiceId } from '../../src/base/index.js';
import { EntryCount } from '../../src/direct/entrycount.js';
import { RetryBudgets } from '../../src/direct/retrybudgets.js';
import { retryExcess } from '../../bench/soak/retryexcess.js';

interface Scenario {
  readonly entryCount: number;
  /** Share of arrivals at upstreams that fail and are retried if the budget allows. */
  readonly failShare: (atMs: Ms) => number;
  /** Share of retries that wait for the next common moment at which their target is ready. */
  readonly waitShare?: number;
  /** Entries restarted at a time. */
  readonly restarts?: readonly { readonly atMs: Ms; readonly share: number }[];
  /** Time between restarts of one entry after the other. */
  readonly rollEveryMs?: Ms;
  /** Share of entries that exist only from a time on. */
  readonly added?: { readonly atMs: Ms; readonly share: number };
  /** Share of entries that cannot reach the order lease holder from a time on. */
  readonly cut?: { readonly atMs: Ms; readonly share: number };
}

/** One process of an entry. */
interface Entry {
  readonly id: string;
  readonly count: EntryCount;
  readonly budgets: RetryBudgets;
  readonly isCut: () => boolean;
  isUp: boolean;
}

const BOUND = { ratio: 0.2, slack: 56, windowMs: 10_000 };
const SERVICE = 's' as ServiceId;
/** Requests per second at all entries: this many, or one per entry if that is more. */
const MIN_REQUESTS_PER_S = 60;
const STEP_MS = 20;
const REPORT_MS = 250;
/** All entries have reported to a new holder after this. */
const LEARN_MS = 2000;
const DOWN_MS = 500;
const LATENCY_MS = 15;
const MAX_ATTEMPTS = 4;
const READY_EVERY_MS = 6000;
/** Traffic begins this long after the first entries. */
const LEAD_MS = 12_000;

/** Entries that share one retry budget and learn their number from the holder, with kills, restarts and waits. */
export class RetryWorld {
  readonly clock = new VirtualClock();

  private readonly generator;

  private readonly entries: Entry[] = [];

  private readonly requestTimes: Ms[] = [];

  private readonly retryTimes: Ms[] = [];

  private rolledCount = 0;

  /** Number of entries in the lease record, which every entry can read. */
  private recordedCount = 0;

  private holder: Entry | undefined;

  private heldSinceMs: Ms = 0;

  constructor(
    seed: number,
    private readonly scenario: Scenario,
  ) {
    this.generator = xoroshiro128plus(seed);
    const { entryCount, added, restarts = [], rollEveryMs } = scenario;
    const firstCount = entryCount - Math.floor(entryCount * (added?.share ?? 0));
    for (let at = 0; at < entryCount; at += 1) {
      if (at < firstCount) this.entries.push(this.start(at));
      else this.clock.after(LEAD_MS + added!.atMs, () => this.entries.push(this.start(at)));
    }
    for (const { atMs, share } of restarts) {
      this.clock.after(LEAD_MS + atMs, () => this.restartShare(share));
    }
    if (rollEveryMs !== undefined) this.clock.after(LEAD_MS, () => this.roll(rollEveryMs));
    this.repeat(REPORT_MS, () => this.report());
    this.clock.after(LEAD_MS, () => this.repeat(STEP_MS, () => this.arrive()));
  }

  /** Runs and returns by how many the retries exceed the bound in the worst window; negative if they do not. */
  run(trafficMs: Ms): number {
    this.clock.advanceTo(LEAD_MS + trafficMs);
    return retryExcess(this.requestTimes, this.retryTimes, BOUND);
  }

  get retryCount(): number {
    return this.retryTimes.length;
  }

  private start(at: number): Entry {
    const { clock } = this;
    const { cut, entryCount } = this.scenario;
    const count = new EntryCount();
    const parts = () => count.shares(clock.nowMs());
    const isCut = () =>
      cut !== undefined &&
      clock.nowMs() >= LEAD_MS + cut.atMs &&
      at >= entryCount * (1 - cut.share);
    const budgets = new RetryBudgets({ clock, ...BOUND, parts });
    count.setRecordedCount(this.recordedCount, clock.nowMs());
    if (this.recordedCount > 0) budgets.setPredecessor();
    return { id: `e${at}`, count, budgets, isCut, isUp: true };
  }

  private restartShare(share: number): void {
    for (const at of this.entries.keys()) if (this.chance() < share) this.restart(at);
  }

  private roll(everyMs: Ms): void {
    if (this.rolledCount >= this.entries.length) return;
    this.restart(this.rolledCount);
    this.rolledCount += 1;
    this.clock.after(everyMs, () => this.roll(everyMs));
  }

  private restart(at: number): void {
    this.entries[at]!.isUp = false;
    this.clock.after(DOWN_MS, () => {
      if (!this.entries[at]!.isUp) this.entries[at] = this.start(at);
    });
  }

  /** Every entry reports to the holder, which is the first one that runs, and learns its count. */
  private report(): void {
    const nowMs = this.clock.nowMs();
    const holder = this.entries.find(({ isUp }) => isUp);
    if (!holder) return;
    if (holder !== this.holder) this.heldSinceMs = nowMs;
    this.holder = holder;
    for (const { id, count, isUp, isCut } of this.entries) {
      if (!isUp || isCut() || id === holder.id) continue;
      holder.count.heard(id, nowMs);
      count.setReportedCount(holder.count.count(nowMs));
    }
    const heardCount = holder.count.count(nowMs);
    const isComplete = nowMs - this.heldSinceMs > LEARN_MS;
    this.recordedCount = isComplete ? heardCount : Math.max(heardCount, this.recordedCount);
    for (const { count } of this.entries) count.setRecordedCount(this.recordedCount, nowMs);
  }

  private arrive(): void {
    const nowMs = this.clock.nowMs();
    const perS = Math.max(MIN_REQUESTS_PER_S, this.scenario.entryCount);
    let expected = (perS * STEP_MS) / 1000;
    for (; expected > 0; expected -= 1) {
      if (this.chance() >= expected) continue;
      this.requestTimes.push(nowMs);
      const entry = this.entries[Math.floor(this.chance() * this.entries.length)]!;
      if (!entry.isUp) continue;
      entry.budgets.of(SERVICE).request(nowMs);
      this.send(entry, 1);
    }
  }

  private send(entry: Entry, attempt: number): void {
    const sentAtMs = this.clock.nowMs();
    if (attempt > 1) this.retryTimes.push(sentAtMs);
    this.clock.after(LATENCY_MS, () => {
      const isFailed = this.chance() < this.scenario.failShare(sentAtMs - LEAD_MS);
      if (!isFailed || !entry.isUp || attempt >= MAX_ATTEMPTS) return;
      this.retry(entry, attempt + 1);
    });
  }

  private retry(entry: Entry, attempt: number): void {
    const nowMs = this.clock.nowMs();
    const reserved = entry.budgets.of(SERVICE).reserve(nowMs);
    if (!reserved) return;
    const isWaiting = this.chance() < (this.scenario.waitShare ?? 0);
    const waitMs = isWaiting ? READY_EVERY_MS - (nowMs % READY_EVERY_MS) : 0;
    this.clock.after(waitMs, () => {
      if (entry.isUp && reserved.send(this.clock.nowMs())) this.send(entry, attempt);
      else reserved.cancel();
    });
  }

  private repeat(everyMs: Ms, act: () => void): void {
    this.clock.after(everyMs, () => {
      act();
      this.repeat(everyMs, act);
    });
  }

  private chance(): number {
    return uniformFloat64(this.generator);
  }
}
