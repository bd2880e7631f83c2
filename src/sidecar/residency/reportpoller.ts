import type { Result } from 'ts-results';
import { result, toFailure, type Clock, type Ms } from '../../base/index.js';
import type { Engine, EngineFailure, EngineReport } from '../../port/index.js';

/** Poll intervals: without open orders, and while orders are open. */
const IDLE_POLL_MS: Ms = 1000;
const BUSY_POLL_MS: Ms = 100;

/** Called with each answer and the number of its poll. */
type OnReport = (poll: number, answer: Result<EngineReport, EngineFailure>) => void;

/** Polls an engine's report. Only one poll is in flight at a time, so that answers arrive in order. */
export class ReportPoller {
  /** Number of the last poll. */
  lastPoll = 0;

  private cancel: (() => void) | undefined;

  private isPolling = false;

  private isPollDue = false;

  private isStopped = false;

  constructor(
    private readonly engine: Engine,
    private readonly clock: Clock,
    private readonly isBusy: () => boolean,
    private readonly onReport: OnReport,
  ) {}

  /** Polls now, or right after the poll in flight is answered. */
  pollNow(): void {
    this.isPollDue = true;
    if (this.isPolling || this.isStopped) return;
    this.cancel?.();
    void this.ask();
  }

  async ask(): Promise<void> {
    this.lastPoll += 1;
    this.isPolling = true;
    this.isPollDue = false;
    const answer = await this.report();
    this.isPolling = false;
    if (this.isStopped) return;
    this.onReport(this.lastPoll, answer);
    this.cancel = this.clock.after(this.delayMs(), () => {
      void this.ask();
    });
  }

  stop(): void {
    this.isStopped = true;
    this.cancel?.();
  }

  private delayMs(): Ms {
    if (this.isPollDue) return 0;
    return this.isBusy() ? BUSY_POLL_MS : IDLE_POLL_MS;
  }

  private async report(): Promise<Result<EngineReport, EngineFailure>> {
    try {
      return await this.engine.report();
    } catch (thrown) {
      const { detail } = toFailure('upstream-wrong-answer', thrown);
      return result.Err({ type: 'upstream-wrong-answer', detail, executed: 'unknown' });
    }
  }
}
