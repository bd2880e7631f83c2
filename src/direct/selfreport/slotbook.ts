import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { rateRules, firstSlotAtMs, slotIntervalMs } from '../../core/sharedrate/index.js';
import type { SlotAnswer } from './slotanswer.js';
import { SlotLine } from './slotline.js';
import type { SlotQuestion } from './slotquestion.js';
import type { StandingNews } from './standingnews.js';

/** The slots of one start of an upstream. */
interface Pace {
  readonly startedAtMs: Ms | undefined;
  readonly heardAtMs: Ms;
  readonly line: SlotLine;
  /** What each entry had sent in the window before it heard of the limit. */
  readonly sentBefore: Map<string, number>;
}

/** What the holder's side of limits stands on. */
interface SlotBookOptions {
  readonly clock: Clock;
  /** Part of each rate that this process may give out now: 0 at all but the holder. */
  readonly share: () => number;
}

/** The slots of all upstreams with a limit, as the one process gives them out that has the right to. */
export class SlotBook {
  private readonly paces = new Map<UpstreamId, Pace>();

  /** When this process took the right over: the holder before may have given out slots up to then. */
  private tookAtMs: Ms = -Infinity;

  constructor(private readonly options: SlotBookOptions) {}

  /** This process takes the right over: it does not know which slots the one before gave out. */
  took(): void {
    for (const upstream of [...this.paces.keys()]) this.forget(upstream);
    this.tookAtMs = this.options.clock.nowMs();
  }

  /** An entry has told of an upstream's limit. */
  hear(entry: string, news: StandingNews, ratePerS: number): void {
    const pace = this.paceOf(news, ratePerS);
    pace.line.rate(ratePerS);
    if (pace.sentBefore.has(entry)) return;
    pace.sentBefore.set(entry, news.sentBefore ?? 0);
    let sentCount = 0;
    for (const count of pace.sentBefore.values()) sentCount += count;
    pace.line.notBefore(firstSlotAtMs(ratePerS, sentCount, pace.heardAtMs));
  }

  /** An upstream takes whatever comes again, or is asked less of from now on. */
  forget(upstream: UpstreamId): void {
    this.paces.get(upstream)?.line.close({ type: 'not-holder' });
    this.paces.delete(upstream);
  }

  /** Answers a question about an upstream with this limit. */
  draw({ news, rank, waitMs }: SlotQuestion, ratePerS: number): Promise<SlotAnswer> {
    return this.paceOf(news, ratePerS).line.ask(rank, waitMs);
  }

  private paceOf({ upstream, startedAtMs }: StandingNews, ratePerS: number): Pace {
    const known = this.paces.get(upstream);
    if (known?.startedAtMs === startedAtMs && known) return known;
    const heardAtMs = this.options.clock.nowMs();
    const lastBeforeMs = this.tookAtMs + rateRules.validMs + slotIntervalMs(ratePerS);
    const line = new SlotLine(this.options, ratePerS, Math.max(heardAtMs, lastBeforeMs));
    const pace = { startedAtMs, heardAtMs, line, sentBefore: new Map<string, number>() };
    this.paces.set(upstream, pace);
    return pace;
  }
}
