import type { Clock, Ms } from '../base/index.js';
import { creditCost } from '../shell/rpc/index.js';
import type { CallerAnswer } from './answer/index.js';
import type { SentAttempt } from './link/index.js';

/** Used credit is returned to the sidecar in portions of at least this size. */
const GRANT_EVERY = 16;

/** Credit-based flow control: grants the sidecar credit as fast as the caller reads the answer. */
export class FlowControl {
  /** Since when the caller has been blocking the answer; undefined while it keeps up. */
  blockedSinceMs: Ms | undefined;

  /** Since when the caller keeps up again. */
  freeSinceMs: Ms = 0;

  private sent: SentAttempt | undefined;

  private taken = 0;

  constructor(
    private readonly answer: CallerAnswer,
    private readonly clock: Clock,
  ) {}

  /** Starts a new attempt, whose sidecar begins with full credit. */
  start(sent: SentAttempt): void {
    this.sent = sent;
    this.taken = 0;
  }

  /** Counts one data frame that was written to the caller; `isFree` is false if the caller does not keep up. */
  frameWritten(payload: Buffer, isFree: boolean): void {
    this.taken += creditCost(payload);
    if (!isFree) this.block();
    else if (this.taken >= GRANT_EVERY && this.blockedSinceMs === undefined) this.grant();
  }

  private block(): void {
    if (this.blockedSinceMs !== undefined) return;
    this.blockedSinceMs = this.clock.nowMs();
    this.answer.onDrain(() => {
      this.blockedSinceMs = undefined;
      this.freeSinceMs = this.clock.nowMs();
      this.grant();
    });
  }

  private grant(): void {
    if (this.taken > 0) this.sent?.grant(this.taken);
    this.taken = 0;
  }
}
