import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type Ms, type UpstreamId } from '../../src/base/index.js';
import { rateRules } from '../../src/core/sharedrate/index.js';
import type { SlotWaiter } from '../../src/direct/route/index.js';
import { SlotSchedule, SlotClient, type SlotAnswer } from '../../src/direct/selfreport/index.js';

/** A fault of an entry, the holder or the store at a given time. */
export interface RateFault {
  readonly atMs: Ms;
  readonly type: 'kill' | 'freeze' | 'cut' | 'lose-holder' | 'store-away';
  /** Index of the entry; ignored by `lose-holder` and `store-away`. */
  readonly entry: number;
  readonly forMs: Ms;
}

/** Options of the simulation. */
interface RateWorldOptions {
  readonly entryCount: number;
  /** The limit of each upstream, in requests per second. */
  readonly limits: readonly number[];
  /** Demand over all entries in requests per second. */
  readonly askedPerS: number;
  /** `slots`: entries ask the holder for slots. `parts`: each entry uses a fixed part of each rate without messages. */
  readonly method?: 'slots' | 'parts';
  /** How long a request waits for an upstream. */
  readonly maxWaitMs?: Ms;
  readonly faults?: readonly RateFault[];
  /** Entries that join later, at `atMs`. */
  readonly joining?: { readonly count: number; readonly atMs: Ms };
  readonly seed?: number;
}

/** One entry's fixed part of one upstream's rate, for the method `parts`. */
interface Part {
  level: number;
  filledAtMs: Ms;
}

interface Entry {
  readonly number: number;
  client: SlotClient;
  book: SlotSchedule;
  parts: Part[];
  startsAtMs: Ms;
  downUntilMs: Ms;
  cutUntilMs: Ms;
  frozenUntilMs: Ms;
  /** Arrival times of the waiting requests. */
  waiting: Ms[];
}

const STEP_MS = 5;
const RECHECK_MS = 20;
const DELAY_MS = 2;
const TIMEOUT_MS = 150;
const RENEW_MS = 600;
const LEASE_MS = 1600;
const TAKEOVER_MS = 2400;
const MS_PER_S = 1000;

/** Simulates entries that share rate limits of upstreams, callers and faults in virtual time. Limits are known at 0. */
export class RateWorld {
  readonly clock = new VirtualClock();

  /** Arrival times of requests at each upstream. */
  readonly arrivals: Ms[][];

  askedCount = 0;

  /** Number of calls between entries. */
  callCount = 0;

  private readonly entries: Entry[];

  private readonly generator;

  private readonly faults: RateFault[];

  private holder = 0;

  private renewedAtMs: Ms = 0;

  private storeBackAtMs: Ms = 0;

  private untilMs: Ms = 0;

  constructor(private readonly options: RateWorldOptions) {
    const { entryCount, limits, seed = 1, faults = [], joining } = options;
    this.generator = xoroshiro128plus(seed);
    this.faults = [...faults].sort((a, b) => a.atMs - b.atMs);
    this.arrivals = limits.map(() => []);
    const joinCount = joining?.count ?? 0;
    this.entries = Array.from({ length: entryCount + joinCount }, (_one, at) => ({
      ...this.partsOf(at),
      number: at,
      startsAtMs: at < entryCount ? 0 : joining!.atMs,
      downUntilMs: 0,
      cutUntilMs: 0,
      frozenUntilMs: 0,
      waiting: [],
    }));
  }

  async run(forMs: Ms): Promise<void> {
    this.untilMs = forMs;
    for (let atMs = STEP_MS; atMs < forMs; atMs += STEP_MS) {
      this.clock.advanceTo(atMs);
      this.applyDueFaults(atMs);
      this.renewOrTakeOver(atMs);
      for (let at = 0; at < this.entries.length; at += 1) this.step(at, atMs);
      // Runs the promise callbacks of this step before the next one.
      for (let round = 0; round < 6; round += 1) await Promise.resolve();
    }
  }

  /** Returns the most requests an upstream got in any window, as a fraction of what it tolerates. */
  fullestWindow(upstream: number): number {
    const { windowMs, excess, slack } = rateRules;
    const allowed = (excess * this.options.limits[upstream]! * windowMs) / MS_PER_S + slack;
    const times = this.arrivals[upstream]!;
    let from = 0;
    let most = 0;
    for (let at = 0; at < times.length; at += 1) {
      while (times[from]! < times[at]! - windowMs) from += 1;
      most = Math.max(most, at - from + 1);
    }
    return most / allowed;
  }

  /** Returns the fraction of all limits that was used. */
  used(): number {
    const sum = this.options.limits.reduce((all, perS) => all + perS, 0);
    const sent = this.arrivals.reduce((all, times) => all + times.length, 0);
    return sent / ((sum * this.untilMs) / MS_PER_S);
  }

  private partsOf(at: number): Pick<Entry, 'client' | 'book' | 'parts'> {
    const { clock } = this;
    const share = () => this.shareOf(at);
    const book = new SlotSchedule({ clock, share });
    const draw = (upstream: UpstreamId, ask: SlotWaiter) => this.draw(at, upstream, ask);
    const parts = this.options.limits.map(() => ({ level: 0, filledAtMs: clock.nowMs() }));
    return { book, client: new SlotClient({ clock, draw }), parts };
  }

  private shareOf(at: number): number {
    if (at !== this.holder || !this.isUp(at)) return 0;
    const nowMs = this.clock.nowMs();
    return nowMs < this.renewedAtMs + LEASE_MS ? 1 : rateRules.lapsedShare;
  }

  private draw(
    from: number,
    upstream: UpstreamId,
    { rank, waitMs }: SlotWaiter,
  ): Promise<SlotAnswer | undefined> {
    const { clock, holder } = this;
    const ratePerS = this.options.limits[Number(upstream)]!;
    const news = { upstream, ratePerS, rateAgeMs: 0 };
    if (from !== holder) this.callCount += 1;
    return new Promise((resolve) => {
      const forget = clock.after(waitMs + TIMEOUT_MS, () => resolve(undefined));
      const answered = (reply: SlotAnswer) => {
        if (!this.reaches(from, holder)) return;
        clock.after(from === holder ? 0 : DELAY_MS, () => {
          forget();
          resolve(reply);
        });
      };
      clock.after(from === holder ? 0 : DELAY_MS, () => {
        if (!this.reaches(from, holder)) return;
        const { book } = this.entries[holder]!;
        void book.draw({ entry: String(from), news, rank, waitMs }, ratePerS).then(answered);
      });
    });
  }

  private step(at: number, nowMs: Ms): void {
    const entry = this.entries[at]!;
    if (nowMs < entry.startsAtMs || nowMs < entry.downUntilMs) return;
    const { askedPerS, maxWaitMs = 250 } = this.options;
    if (this.chance() < (askedPerS * STEP_MS) / MS_PER_S / this.entries.length) {
      this.askedCount += 1;
      entry.waiting.push(nowMs);
    }
    if (nowMs < entry.frozenUntilMs || (nowMs + at * STEP_MS) % RECHECK_MS !== 0) return;
    entry.waiting = entry.waiting.filter((sinceMs) => {
      const leftMs = maxWaitMs - (nowMs - sinceMs);
      return leftMs > 0 && !this.send(entry, sinceMs, leftMs, nowMs);
    });
  }

  /** Sends a request to the first upstream that accepts it; otherwise asks for slots and returns false. */
  private send(entry: Entry, sinceMs: Ms, leftMs: Ms, nowMs: Ms): boolean {
    const requestId = `${entry.number}-${sinceMs}`;
    for (const at of this.options.limits.keys()) {
      if (!this.mayEnter(entry, at, requestId, nowMs)) continue;
      this.arrivals[at]!.push(nowMs);
      return true;
    }
    const ids = this.options.limits.map((_one, at) => String(at) as UpstreamId);
    const ask = {
      requestId,
      rank: 1,
      waitMs: Math.max(0, leftMs - rateRules.minUsableMs),
    };
    if (this.options.method !== 'parts') entry.client.request(ids, ask, nowMs);
    return false;
  }

  private mayEnter({ client, parts }: Entry, at: number, requestId: string, nowMs: Ms): boolean {
    if (this.options.method === 'parts') return this.hasPart(parts[at]!, at, nowMs);
    const id = String(at) as UpstreamId;
    if (client.opensInMs(id, nowMs, requestId) > 0) return false;
    client.take(id, nowMs, requestId);
    return true;
  }

  private hasPart(part: Part, at: number, nowMs: Ms): boolean {
    const current = part;
    const perS = this.options.limits[at]! / this.entries.length;
    current.level = Math.min(1, part.level + ((nowMs - part.filledAtMs) * perS) / MS_PER_S);
    current.filledAtMs = nowMs;
    if (part.level < 1) return false;
    current.level -= 1;
    return true;
  }

  private renewOrTakeOver(nowMs: Ms): void {
    if (nowMs < this.storeBackAtMs) return;
    const { cutUntilMs } = this.entries[this.holder]!;
    const mayRenew = this.isUp(this.holder) && nowMs >= cutUntilMs;
    if (mayRenew && nowMs >= this.renewedAtMs + RENEW_MS) this.renewedAtMs = nowMs;
    if (nowMs < this.renewedAtMs + TAKEOVER_MS) return;
    const next = this.entries.findIndex((entry, at) => this.isUp(at) && nowMs >= entry.cutUntilMs);
    if (next < 0) return;
    this.holder = next;
    this.renewedAtMs = nowMs;
    this.entries[next]!.book.takeOver();
  }

  private applyDueFaults(nowMs: Ms): void {
    while (this.faults[0] && nowMs >= this.faults[0].atMs) {
      const { type, entry: at, forMs } = this.faults.shift()!;
      if (type === 'store-away') this.storeBackAtMs = Math.max(this.storeBackAtMs, nowMs + forMs);
      else {
        this.applyFault(
          type === 'lose-holder' ? this.holder : at % this.entries.length,
          type,
          forMs,
        );
      }
    }
  }

  private applyFault(at: number, type: RateFault['type'], forMs: Ms): void {
    const entry = this.entries[at]!;
    const untilMs = this.clock.nowMs() + forMs;
    if (type === 'cut') entry.cutUntilMs = untilMs;
    else if (type === 'freeze') entry.frozenUntilMs = untilMs;
    else {
      entry.downUntilMs = untilMs;
      entry.waiting = [];
      this.clock.after(forMs, () => {
        Object.assign(entry, this.partsOf(at));
        // A process that restarts on the holder's host is still the holder.
        if (at === this.holder) entry.book.takeOver();
      });
    }
  }

  private isUp(at: number): boolean {
    const { downUntilMs, frozenUntilMs, startsAtMs } = this.entries[at]!;
    const nowMs = this.clock.nowMs();
    return nowMs >= startsAtMs && nowMs >= downUntilMs && nowMs >= frozenUntilMs;
  }

  private reaches(from: number, to: number): boolean {
    if (from === to) return this.isUp(to);
    const nowMs = this.clock.nowMs();
    const isCut = [from, to].some((at) => nowMs < this.entries[at]!.cutUntilMs);
    return !isCut && this.isUp(to);
  }

  private chance(): number {
    return uniformFloat64(this.generator);
  }
}
