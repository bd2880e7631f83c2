import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { rateRules, firstSlotAtMs, slotIntervalMs } from '../../core/sharedrate/index.js';
import type { SlotAnswer } from './slotanswer.js';
import { SlotQueue } from './slotqueue.js';
import type { SlotRequest } from './slotrequest.js';
import type { ReportedStateUpdate } from './reportedstateupdate.js';

/** The slots of one incarnation of an upstream. */
interface Schedule {
  readonly startedAtMs: Ms | undefined;
  readonly receivedAtMs: Ms;
  readonly queue: SlotQueue;
  /** Requests that each entry had sent in the window before it learned of the limit. */
  readonly sentBefore: Map<string, number>;
}

interface SlotScheduleOptions {
  readonly clock: Clock;
  /** Fraction of each rate that this process may grant now: 0 unless it is the holder. */
  readonly share: () => number;
}

/** Schedules the slots of all upstreams with a rate limit, at the one process that holds the lease for them. */
export class SlotSchedule {
  private readonly schedules = new Map<UpstreamId, Schedule>();

  /** When this process became the holder: the previous one may have granted slots up to then. */
  private tookAtMs: Ms = -Infinity;

  constructor(private readonly options: SlotScheduleOptions) {}

  /** Starts anew as the holder: the slots that the previous holder granted are not known. */
  takeOver(): void {
    for (const upstream of [...this.schedules.keys()]) this.forget(upstream);
    this.tookAtMs = this.options.clock.nowMs();
  }

  /** Applies an upstream's limit as reported by an entry. */
  addUpdate(entry: string, news: ReportedStateUpdate, ratePerS: number): void {
    const schedule = this.scheduleOf(news, ratePerS);
    schedule.queue.rate(ratePerS);
    if (schedule.sentBefore.has(entry)) return;
    schedule.sentBefore.set(entry, news.sentBefore ?? 0);
    let sentCount = 0;
    for (const count of schedule.sentBefore.values()) sentCount += count;
    schedule.queue.notBefore(firstSlotAtMs(ratePerS, sentCount, schedule.receivedAtMs));
  }

  /** Forgets an upstream's slots: its limit was lifted or lowered. */
  forget(upstream: UpstreamId): void {
    this.schedules.get(upstream)?.queue.close({ type: 'not-holder' });
    this.schedules.delete(upstream);
  }

  /** Answers a request for a slot at an upstream with this limit. */
  draw({ news, rank, waitMs }: SlotRequest, ratePerS: number): Promise<SlotAnswer> {
    return this.scheduleOf(news, ratePerS).queue.ask(rank, waitMs);
  }

  private scheduleOf({ upstream, startedAtMs }: ReportedStateUpdate, ratePerS: number): Schedule {
    const known = this.schedules.get(upstream);
    if (known?.startedAtMs === startedAtMs && known) return known;
    const receivedAtMs = this.options.clock.nowMs();
    const lastBeforeMs = this.tookAtMs + rateRules.validMs + slotIntervalMs(ratePerS);
    const queue = new SlotQueue(this.options, ratePerS, Math.max(receivedAtMs, lastBeforeMs));
    const schedule = { startedAtMs, receivedAtMs, queue, sentBefore: new Map<string, number>() };
    this.schedules.set(upstream, schedule);
    return schedule;
  }
}
