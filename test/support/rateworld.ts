import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type Ms, type UpstreamId } from '../../src/base/index.js';
import { rateRules } from '../../src/core/sharedrate/index.js';
import type { SlotAsk } from '../../src/direct/route/index.js';
import { SlotBook, SlotDesk, type SlotAnswer } from '../../src/direct/selfreport/index.js';

/** What befalls an entry, or the holder, at a moment. */
export interface RateTrouble {
  readonly atMs: Ms;
  readonly type: 'kill' | 'freeze' | 'cut' | 'lose-holder' | 'store-away';
  /** Which entry; the holder's own are those of `lose-holder`. */
  readonly entry: number;
  readonly forMs: Ms;
}

/** What plays. */
interface RateWorldOptions {
  readonly entryCount: number;
  /** The limit of each upstream, in requests a second. */
  readonly limits: readonly number[];
  /** Requests a second over all entries that only these upstreams could run. */
  readonly askedPerS: number;
  /** `parts`: each entry goes by its own part of each rate, without a message. */
  readonly way?: 'slots' | 'parts';
  /** How long a request waits for an upstream. */
  readonly patienceMs?: Ms;
  readonly troubles?: readonly RateTrouble[];
  /** Entries that join so many ms after the limits are named. */
  readonly joining?: { readonly count: number; readonly atMs: Ms };
  readonly seed?: number;
}

/** One entry's own part of one upstream's rate: the other way. */
interface Part {
  level: number;
  filledAtMs: Ms;
}

interface Entry {
  readonly number: number;
  desk: SlotDesk;
  book: SlotBook;
  parts: Part[];
  startsAtMs: Ms;
  downUntilMs: Ms;
  cutUntilMs: Ms;
  frozenUntilMs: Ms;
  /** Requests that wait, by when they came. */
  waiting: Ms[];
}

const STEP_MS = 5;
const LOOK_MS = 20;
const DELAY_MS = 2;
const TIMEOUT_MS = 150;
const RENEW_MS = 600;
const RIGHT_MS = 1600;
const TAKEOVER_MS = 2400;
const MS_PER_S = 1000;

/** Entries that keep limits of upstreams together, callers, and trouble, in virtual time. All have been told at 0. */
export class RateWorld {
  readonly clock = new VirtualClock();

  /** When requests reached each upstream. */
  readonly arrivals: Ms[][];

  askedCount = 0;

  /** Calls between entries. */
  callCount = 0;

  private readonly entries: Entry[];

  private readonly generator;

  private readonly troubles: RateTrouble[];

  private holder = 0;

  private renewedAtMs: Ms = 0;

  private storeBackAtMs: Ms = 0;

  private untilMs: Ms = 0;

  constructor(private readonly options: RateWorldOptions) {
    const { entryCount, limits, seed = 1, troubles = [], joining } = options;
    this.generator = xoroshiro128plus(seed);
    this.troubles = [...troubles].sort((a, b) => a.atMs - b.atMs);
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
      this.strike(atMs);
      this.keepHolder(atMs);
      for (let at = 0; at < this.entries.length; at += 1) this.step(at, atMs);
      // Answers of this step are acted on before the next.
      for (let turn = 0; turn < 6; turn += 1) await Promise.resolve();
    }
  }

  /** Most that an upstream got in any window, as a part of what it bears. */
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

  /** Part of all limits that was used. */
  used(): number {
    const sum = this.options.limits.reduce((all, perS) => all + perS, 0);
    const sent = this.arrivals.reduce((all, times) => all + times.length, 0);
    return sent / ((sum * this.untilMs) / MS_PER_S);
  }

  private partsOf(at: number): Pick<Entry, 'desk' | 'book' | 'parts'> {
    const { clock } = this;
    const share = () => this.shareOf(at);
    const book = new SlotBook({ clock, share });
    const draw = (upstream: UpstreamId, ask: SlotAsk) => this.draw(at, upstream, ask);
    const parts = this.options.limits.map(() => ({ level: 0, filledAtMs: clock.nowMs() }));
    return { book, desk: new SlotDesk({ clock, draw }), parts };
  }

  private shareOf(at: number): number {
    if (at !== this.holder || !this.isUp(at)) return 0;
    const nowMs = this.clock.nowMs();
    return nowMs < this.renewedAtMs + RIGHT_MS ? 1 : rateRules.lapsedShare;
  }

  private draw(
    from: number,
    upstream: UpstreamId,
    { rank, waitMs }: SlotAsk,
  ): Promise<SlotAnswer | undefined> {
    const { clock, holder } = this;
    const ratePerS = this.options.limits[Number(upstream)]!;
    const news = { upstream, ratePerS, rateAgeMs: 0 };
    if (from !== holder) this.callCount += 1;
    return new Promise((resolve) => {
      const forget = clock.after(waitMs + TIMEOUT_MS, () => resolve(undefined));
      const answered = (said: SlotAnswer) => {
        if (!this.reaches(from, holder)) return;
        clock.after(from === holder ? 0 : DELAY_MS, () => {
          forget();
          resolve(said);
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
    const { askedPerS, patienceMs = 250 } = this.options;
    if (this.chance() < (askedPerS * STEP_MS) / MS_PER_S / this.entries.length) {
      this.askedCount += 1;
      entry.waiting.push(nowMs);
    }
    if (nowMs < entry.frozenUntilMs || (nowMs + at * STEP_MS) % LOOK_MS !== 0) return;
    entry.waiting = entry.waiting.filter((sinceMs) => {
      const leftMs = patienceMs - (nowMs - sinceMs);
      return leftMs > 0 && !this.send(entry, sinceMs, leftMs, nowMs);
    });
  }

  /** Sends a request to the first upstream that takes it. */
  private send(entry: Entry, sinceMs: Ms, leftMs: Ms, nowMs: Ms): boolean {
    const asker = `${entry.number}-${sinceMs}`;
    for (const at of this.options.limits.keys()) {
      if (!this.mayEnter(entry, at, asker, nowMs)) continue;
      this.arrivals[at]!.push(nowMs);
      return true;
    }
    const ids = this.options.limits.map((_one, at) => String(at) as UpstreamId);
    const ask = {
      asker,
      rank: 1,
      waitMs: Math.max(0, leftMs - rateRules.useMs),
    };
    if (this.options.way !== 'parts') entry.desk.want(ids, ask, nowMs);
    return false;
  }

  private mayEnter({ desk, parts }: Entry, at: number, asker: string, nowMs: Ms): boolean {
    if (this.options.way === 'parts') return this.hasPart(parts[at]!, at, nowMs);
    const id = String(at) as UpstreamId;
    if (desk.opensInMs(id, nowMs, asker) > 0) return false;
    desk.take(id, nowMs, asker);
    return true;
  }

  private hasPart(part: Part, at: number, nowMs: Ms): boolean {
    const mark = part;
    const perS = this.options.limits[at]! / this.entries.length;
    mark.level = Math.min(1, part.level + ((nowMs - part.filledAtMs) * perS) / MS_PER_S);
    mark.filledAtMs = nowMs;
    if (part.level < 1) return false;
    mark.level -= 1;
    return true;
  }

  private keepHolder(nowMs: Ms): void {
    if (nowMs < this.storeBackAtMs) return;
    const { cutUntilMs } = this.entries[this.holder]!;
    const mayRenew = this.isUp(this.holder) && nowMs >= cutUntilMs;
    if (mayRenew && nowMs >= this.renewedAtMs + RENEW_MS) this.renewedAtMs = nowMs;
    if (nowMs < this.renewedAtMs + TAKEOVER_MS) return;
    const next = this.entries.findIndex((entry, at) => this.isUp(at) && nowMs >= entry.cutUntilMs);
    if (next < 0) return;
    this.holder = next;
    this.renewedAtMs = nowMs;
    this.entries[next]!.book.took();
  }

  private strike(nowMs: Ms): void {
    while (this.troubles[0] && nowMs >= this.troubles[0].atMs) {
      const { type, entry: at, forMs } = this.troubles.shift()!;
      if (type === 'store-away') this.storeBackAtMs = Math.max(this.storeBackAtMs, nowMs + forMs);
      else {
        this.befall(type === 'lose-holder' ? this.holder : at % this.entries.length, type, forMs);
      }
    }
  }

  private befall(at: number, type: RateTrouble['type'], forMs: Ms): void {
    const entry = this.entries[at]!;
    const untilMs = this.clock.nowMs() + forMs;
    if (type === 'cut') entry.cutUntilMs = untilMs;
    else if (type === 'freeze') entry.frozenUntilMs = untilMs;
    else {
      entry.downUntilMs = untilMs;
      entry.waiting = [];
      this.clock.after(forMs, () => {
        Object.assign(entry, this.partsOf(at));
        // A process that starts again on the holder's host is the holder still.
        if (at === this.holder) entry.book.took();
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
