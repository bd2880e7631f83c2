import type { Result } from 'ts-results';
import { result, settle, type Clock, type Ms } from '../../base/index.js';
import type { Engine, EngineFailure, EngineReport } from '../../port/index.js';

/** How often an engine is asked: seldom when nothing changes, often while orders are open. */
const QUIET_MS: Ms = 1000;
const BUSY_MS: Ms = 100;

/** Is told each answer, with the number of the question. */
type Tell = (poll: number, answer: Result<EngineReport, EngineFailure>) => void;

/** Asks an engine for its report, one question at a time, so that answers never cross. */
export class ReportPoll {
  /** Number of the last question. */
  asked = 0;

  private cancel: (() => void) | undefined;

  private isAsking = false;

  private isHurried = false;

  private isStopped = false;

  constructor(
    private readonly engine: Engine,
    private readonly clock: Clock,
    private readonly isBusy: () => boolean,
    private readonly tell: Tell,
  ) {}

  /** Asks now, or as soon as the question under way is answered. */
  hurry(): void {
    this.isHurried = true;
    if (this.isAsking || this.isStopped) return;
    this.cancel?.();
    void this.ask();
  }

  async ask(): Promise<void> {
    this.asked += 1;
    this.isAsking = true;
    this.isHurried = false;
    const answer = await this.report();
    this.isAsking = false;
    if (this.isStopped) return;
    this.tell(this.asked, answer);
    this.cancel = this.clock.after(this.pauseMs(), () => {
      void this.ask();
    });
  }

  stop(): void {
    this.isStopped = true;
    this.cancel?.();
  }

  private pauseMs(): Ms {
    if (this.isHurried) return 0;
    return this.isBusy() ? BUSY_MS : QUIET_MS;
  }

  private async report(): Promise<Result<EngineReport, EngineFailure>> {
    try {
      return await this.engine.report();
    } catch (thrown) {
      const { detail } = settle('upstream-wrong-answer', thrown);
      return result.Err({ type: 'upstream-wrong-answer', detail, executed: 'unknown' });
    }
  }
}
