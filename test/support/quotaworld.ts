import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type CustomerId, type HostId, type Ms } from '../../src/base/index.js';
import type { AccessTable, CustomerSpec, Quota } from '../../src/core/access/index.js';
import { quotaParts, type QuotaTerms } from '../../src/core/quota/index.js';
import {
  Charge,
  QuotaLedger,
  QuotaClient,
  type DrawAnswer,
  type DrawRequest,
} from '../../src/direct/quota/index.js';

/** One simulated customer: its limit, and what it sends. */
interface Load {
  readonly quota: Quota;
  /** Tokens per second that its callers send, over all entries. */
  readonly sentPerS: number;
  readonly meanCost: number;
}

/** A fault of an entry, or of the holder, at a given time. */
export interface Fault {
  readonly atMs: Ms;
  readonly type: 'kill' | 'freeze' | 'cut' | 'lose-holder' | 'kill-all';
  /** Index of the entry; ignored by `lose-holder` and `kill-all`. */
  readonly entry: number;
  readonly forMs: Ms;
}

/** Results of one customer. */
interface Tally {
  readonly sends: { readonly atMs: Ms; readonly cost: number }[];
  asked: number;
  refused: number;
  unknown: number;
}

/** Options of the simulation. */
interface WorldOptions {
  readonly entryCount: number;
  readonly loads: readonly Load[];
  readonly faults?: readonly Fault[];
  readonly seed?: number;
  /** Fraction of the requests that are charged and then never run. */
  readonly unrunShare?: number;
}

interface Entry {
  readonly id: HostId;
  client: QuotaClient;
  book: QuotaLedger;
  /** Fraction of all callers that use this entry. */
  readonly weight: number;
  downUntilMs: Ms;
  cutUntilMs: Ms;
  frozenUntilMs: Ms;
  reportAtMs: Ms;
}

const STEP_MS = 5;
const REPORT_MS = 250;
const DRAW_TIMEOUT_MS = 150;
const DELAY_MS = 2;
const RENEW_MS = 600;
const LEASE_MS = 1600;
const TAKEOVER_MS = 2400;
const WARM_MS = 4000;
const TERMS: QuotaTerms = { windowMs: 8000, overshoot: 0.1, slack: 7500 };

/** Simulates entries with shared quotas, callers and faults in virtual time. */
export class QuotaWorld {
  readonly clock = new VirtualClock();

  readonly tallies: readonly Tally[];

  /** Number of calls between entries made only for quotas. */
  drawCount = 0;

  private readonly entries: Entry[];

  private readonly customers: readonly CustomerSpec[];

  private readonly access: AccessTable;

  private readonly generator;

  private holder = 0;

  private renewedAtMs: Ms = 0;

  private readonly faults: Fault[];

  constructor(private readonly options: WorldOptions) {
    const { loads, entryCount, seed = 1, faults = [] } = options;
    this.generator = xoroshiro128plus(seed);
    this.faults = [...faults].sort((a, b) => a.atMs - b.atMs);
    this.customers = loads.map(({ quota }, at) => ({ id: `c${at}` as CustomerId, quota }));
    const customers = new Map(this.customers.map((one) => [one.id, one]));
    this.access = { customers, customerByKey: new Map() };
    this.tallies = loads.map(() => ({ sends: [], asked: 0, refused: 0, unknown: 0 }));
    const weights = Array.from({ length: entryCount }, () => 0.4 + this.chance());
    const sum = weights.reduce((all, one) => all + one, 0);
    this.entries = weights.map((weight, at) => {
      const id = `entry-${at}` as HostId;
      const times = { downUntilMs: 0, cutUntilMs: 0, frozenUntilMs: 0, reportAtMs: at * 7 };
      return { id, weight: weight / sum, ...this.parts(at, id), ...times };
    });
    this.entries[0]!.book.takeOver(true);
  }

  /** Runs the simulation; callers start after `WARM_MS`, since entries start before traffic does. */
  async run(untilMs: Ms): Promise<void> {
    for (let atMs = 0; atMs < WARM_MS + untilMs; atMs += STEP_MS) {
      this.clock.advanceTo(atMs);
      this.applyDueFaults(atMs);
      this.renewOrTakeOver(atMs);
      for (let at = 0; at < this.entries.length; at += 1) this.step(at, atMs);
      // Runs the promise callbacks of this step before the next one.
      for (let round = 0; round < 6; round += 1) await Promise.resolve();
    }
  }

  /** Returns the most that a customer sent in any window, as a fraction of what a window allows. */
  fullestWindow(at: number): number {
    const { quota } = this.options.loads[at]!;
    const windowS = TERMS.windowMs / 1000;
    const allowed = (quota.ratePerS * windowS + quota.burst) * (1 + TERMS.overshoot) + TERMS.slack;
    const { sends } = this.tallies[at]!;
    let from = 0;
    let sum = 0;
    let most = 0;
    for (const { atMs, cost } of sends) {
      sum += cost;
      while (sends[from]!.atMs < atMs - TERMS.windowMs) {
        sum -= sends[from]!.cost;
        from += 1;
      }
      most = Math.max(most, sum);
    }
    return most / allowed;
  }

  sent(at: number): number {
    return this.tallies[at]!.sends.reduce((sum, { cost }) => sum + cost, 0);
  }

  private parts(at: number, entry: HostId): { client: QuotaClient; book: QuotaLedger } {
    const { entryCount } = this.options;
    const parts = () => quotaParts(entryCount);
    const { clock } = this;
    const mayGrant = () =>
      at === this.holder && clock.nowMs() < this.renewedAtMs + LEASE_MS && this.isUp(at);
    const book = new QuotaLedger({
      clock,
      terms: TERMS,
      parts,
      entryCount: () => entryCount,
      mayGrant,
    });
    book.limit(this.access);
    const draw = (request: DrawRequest) => this.draw(at, request);
    return { book, client: new QuotaClient({ entry, clock, terms: TERMS, parts, draw }) };
  }

  private draw(from: number, request: DrawRequest): Promise<DrawAnswer | undefined> {
    const { clock, holder } = this;
    return new Promise((resolve) => {
      if (!this.reaches(from, holder)) {
        clock.after(DRAW_TIMEOUT_MS, () => resolve(undefined));
        return;
      }
      if (from !== holder) this.drawCount += 1;
      clock.after(DELAY_MS, () => {
        const reply = this.isUp(holder) ? this.entries[holder]!.book.draw(request) : undefined;
        clock.after(reply ? DELAY_MS : DRAW_TIMEOUT_MS, () => resolve(reply));
      });
    });
  }

  private step(at: number, nowMs: Ms): void {
    if (!this.isUp(at)) return;
    const entry = this.entries[at]!;
    if (at === this.holder) entry.book.tick();
    if (nowMs >= entry.reportAtMs) this.report(at, nowMs);
    if (nowMs < WARM_MS) return;
    this.options.loads.forEach((load, customer) => {
      const perStep = (load.sentPerS * entry.weight * STEP_MS) / 1000 / load.meanCost;
      if (this.chance() < perStep) void this.ask(entry, customer, load);
    });
  }

  private async ask({ client }: Entry, customer: number, { meanCost }: Load): Promise<void> {
    const cost = Math.ceil(meanCost * (0.25 + 1.5 * this.chance()));
    const tally = this.tallies[customer]!;
    const charge = new Charge(client, this.clock, this.customers[customer], cost);
    tally.asked += cost;
    const taken = await charge.pay(0);
    if (taken.type === 'paid') {
      const runs = this.chance() >= (this.options.unrunShare ?? 0);
      if (runs) tally.sends.push({ atMs: this.clock.nowMs(), cost });
      charge.settle(runs ? 1 : 0);
    } else if (taken.reason === 'over') tally.refused += cost;
    else tally.unknown += cost;
  }

  private report(at: number, nowMs: Ms): void {
    const entry = this.entries[at]!;
    entry.reportAtMs = nowMs + REPORT_MS;
    const { holder } = this;
    const report = entry.client.report();
    if (!this.reaches(at, holder)) return;
    const { client } = entry;
    this.clock.after(DELAY_MS, () => {
      const reply = this.isUp(holder)
        ? this.entries[holder]!.book.report(entry.id, report)
        : undefined;
      if (reply) this.clock.after(DELAY_MS, () => client.answered(reply, nowMs));
    });
  }

  /** Renews the holder's lease, or lets another entry take it over once it has lapsed. */
  private renewOrTakeOver(nowMs: Ms): void {
    const { cutUntilMs } = this.entries[this.holder]!;
    if (this.isUp(this.holder) && nowMs >= cutUntilMs && nowMs >= this.renewedAtMs + RENEW_MS) {
      this.renewedAtMs = nowMs;
    }
    if (nowMs < this.renewedAtMs + TAKEOVER_MS) return;
    const next = this.entries.findIndex((entry, at) => this.isUp(at) && nowMs >= entry.cutUntilMs);
    if (next < 0) return;
    this.holder = next;
    this.renewedAtMs = nowMs;
    this.entries[next]!.book.takeOver(false);
  }

  private applyDueFaults(nowMs: Ms): void {
    while (this.faults[0] && nowMs >= this.faults[0].atMs + WARM_MS) {
      const { type, entry: at, forMs } = this.faults.shift()!;
      const place = type === 'lose-holder' ? this.holder : at % this.entries.length;
      const targets = type === 'kill-all' ? this.entries.map((_one, each) => each) : [place];
      for (const each of targets) this.applyFault(each, type, nowMs + forMs);
    }
  }

  private applyFault(at: number, type: Fault['type'], untilMs: Ms): void {
    const entry = this.entries[at]!;
    if (type === 'cut') entry.cutUntilMs = untilMs;
    else if (type === 'freeze') entry.frozenUntilMs = untilMs;
    else {
      entry.downUntilMs = untilMs;
      // The process restarts with empty state. It is created at that time because its clock starts then.
      this.clock.after(untilMs - this.clock.nowMs(), () => {
        Object.assign(entry, this.parts(at, entry.id));
        // A process that restarts on the holder's host is still the holder.
        if (at === this.holder) entry.book.takeOver(false);
      });
    }
  }

  private isUp(at: number): boolean {
    const { downUntilMs, frozenUntilMs } = this.entries[at]!;
    const nowMs = this.clock.nowMs();
    return nowMs >= downUntilMs && nowMs >= frozenUntilMs;
  }

  /** True if one entry can call another. Partitioned entries can be reached by callers, but not by other entries. */
  private reaches(from: number, to: number): boolean {
    if (from === to) return true;
    const nowMs = this.clock.nowMs();
    const isCut = [from, to].some((at) => nowMs < this.entries[at]!.cutUntilMs);
    return !isCut && this.isUp(to);
  }

  private chance(): number {
    return uniformFloat64(this.generator);
  }
}
