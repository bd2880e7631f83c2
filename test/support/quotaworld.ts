import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type CustomerId, type HostId, type Ms } from '../../src/base/index.js';
import type { AccessTable, CustomerSpec, Quota } from '../../src/core/access/index.js';
import { quotaParts, type QuotaTerms } from '../../src/core/quota/index.js';
import {
  Charge,
  QuotaBook,
  QuotaDesk,
  type DrawAnswer,
  type DrawQuestion,
} from '../../src/direct/quota/index.js';

/** One customer of the world: its limit, and what it sends. */
interface Load {
  readonly quota: Quota;
  /** Tokens a second that its callers send, over all entries. */
  readonly sentPerS: number;
  readonly meanCost: number;
}

/** What befalls an entry, or the holder, at a moment. */
export interface Trouble {
  readonly atMs: Ms;
  readonly type: 'kill' | 'freeze' | 'cut' | 'lose-holder' | 'kill-all';
  /** Which entry; the holder's own are those of `lose-holder`. */
  readonly entry: number;
  readonly forMs: Ms;
}

/** What one customer got. */
interface Tally {
  readonly sends: { readonly atMs: Ms; readonly cost: number }[];
  asked: number;
  refused: number;
  unknown: number;
}

/** What plays besides the loads. */
interface WorldOptions {
  readonly entryCount: number;
  readonly loads: readonly Load[];
  readonly troubles?: readonly Trouble[];
  readonly seed?: number;
  /** Part of the requests that are paid for and then never run. */
  readonly unrunShare?: number;
}

interface Entry {
  readonly id: HostId;
  desk: QuotaDesk;
  book: QuotaBook;
  /** Part of all callers that come here. */
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
const RIGHT_MS = 1600;
const TAKEOVER_MS = 2400;
const WARM_MS = 4000;
const TERMS: QuotaTerms = { windowMs: 8000, overshoot: 0.1, slack: 7500 };

/** Entries that keep quotas together, callers, and trouble, in virtual time. */
export class QuotaWorld {
  readonly clock = new VirtualClock();

  readonly tallies: readonly Tally[];

  /** Calls between entries that are made for quotas alone. */
  drawCount = 0;

  private readonly entries: Entry[];

  private readonly customers: readonly CustomerSpec[];

  private readonly access: AccessTable;

  private readonly generator;

  private holder = 0;

  private renewedAtMs: Ms = 0;

  private readonly troubles: Trouble[];

  constructor(private readonly options: WorldOptions) {
    const { loads, entryCount, seed = 1, troubles = [] } = options;
    this.generator = xoroshiro128plus(seed);
    this.troubles = [...troubles].sort((a, b) => a.atMs - b.atMs);
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
    this.entries[0]!.book.took(true);
  }

  /** Callers come from `WARM_MS` on, as entries start before traffic does. */
  async run(untilMs: Ms): Promise<void> {
    for (let atMs = 0; atMs < WARM_MS + untilMs; atMs += STEP_MS) {
      this.clock.advanceTo(atMs);
      this.strike(atMs);
      this.keepHolder(atMs);
      for (let at = 0; at < this.entries.length; at += 1) this.step(at, atMs);
      // Answers of this step are acted on before the next.
      for (let turn = 0; turn < 6; turn += 1) await Promise.resolve();
    }
  }

  /** Most that a customer had sent in any window, as a part of what is allowed in one. */
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

  private parts(at: number, entry: HostId): { desk: QuotaDesk; book: QuotaBook } {
    const { entryCount } = this.options;
    const parts = () => quotaParts(entryCount);
    const { clock } = this;
    const mayGrant = () =>
      at === this.holder && clock.nowMs() < this.renewedAtMs + RIGHT_MS && this.isUp(at);
    const book = new QuotaBook({
      clock,
      terms: TERMS,
      parts,
      entryCount: () => entryCount,
      mayGrant,
    });
    book.limit(this.access);
    const draw = (question: DrawQuestion) => this.draw(at, question);
    return { book, desk: new QuotaDesk({ entry, clock, terms: TERMS, parts, draw }) };
  }

  private draw(from: number, question: DrawQuestion): Promise<DrawAnswer | undefined> {
    const { clock, holder } = this;
    return new Promise((resolve) => {
      if (!this.reaches(from, holder)) {
        clock.after(DRAW_TIMEOUT_MS, () => resolve(undefined));
        return;
      }
      if (from !== holder) this.drawCount += 1;
      clock.after(DELAY_MS, () => {
        const said = this.isUp(holder) ? this.entries[holder]!.book.draw(question) : undefined;
        clock.after(said ? DELAY_MS : DRAW_TIMEOUT_MS, () => resolve(said));
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

  private async ask({ desk }: Entry, customer: number, { meanCost }: Load): Promise<void> {
    const cost = Math.ceil(meanCost * (0.25 + 1.5 * this.chance()));
    const tally = this.tallies[customer]!;
    const charge = new Charge(desk, this.clock, this.customers[customer], cost);
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
    const report = entry.desk.report();
    if (!this.reaches(at, holder)) return;
    const { desk } = entry;
    this.clock.after(DELAY_MS, () => {
      const said = this.isUp(holder)
        ? this.entries[holder]!.book.report(entry.id, report)
        : undefined;
      if (said) this.clock.after(DELAY_MS, () => desk.answered(said, nowMs));
    });
  }

  /** Renews the holder's right, or lets another take it when it has lapsed. */
  private keepHolder(nowMs: Ms): void {
    const { cutUntilMs } = this.entries[this.holder]!;
    if (this.isUp(this.holder) && nowMs >= cutUntilMs && nowMs >= this.renewedAtMs + RENEW_MS) {
      this.renewedAtMs = nowMs;
    }
    if (nowMs < this.renewedAtMs + TAKEOVER_MS) return;
    const next = this.entries.findIndex((entry, at) => this.isUp(at) && nowMs >= entry.cutUntilMs);
    if (next < 0) return;
    this.holder = next;
    this.renewedAtMs = nowMs;
    this.entries[next]!.book.took(false);
  }

  private strike(nowMs: Ms): void {
    while (this.troubles[0] && nowMs >= this.troubles[0].atMs + WARM_MS) {
      const { type, entry: at, forMs } = this.troubles.shift()!;
      const place = type === 'lose-holder' ? this.holder : at % this.entries.length;
      const struck = type === 'kill-all' ? this.entries.map((_one, each) => each) : [place];
      for (const each of struck) this.befall(each, type, nowMs + forMs);
    }
  }

  private befall(at: number, type: Trouble['type'], untilMs: Ms): void {
    const entry = this.entries[at]!;
    if (type === 'cut') entry.cutUntilMs = untilMs;
    else if (type === 'freeze') entry.frozenUntilMs = untilMs;
    else {
      entry.downUntilMs = untilMs;
      // It starts with empty books; as its clock runs from its start, it is made when that is.
      this.clock.after(untilMs - this.clock.nowMs(), () => {
        Object.assign(entry, this.parts(at, entry.id));
        // A process that starts again on the holder's host is the holder still.
        if (at === this.holder) entry.book.took(false);
      });
    }
  }

  private isUp(at: number): boolean {
    const { downUntilMs, frozenUntilMs } = this.entries[at]!;
    const nowMs = this.clock.nowMs();
    return nowMs >= downUntilMs && nowMs >= frozenUntilMs;
  }

  /** Cut entries are reached by callers, but not by other entries. */
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
