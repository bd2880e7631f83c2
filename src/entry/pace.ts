import type { Clock, Ms } from '../base/index.js';
import { creditCost } from '../shell/rpc/index.js';
import type { CallerAnswer } from './answer/index.js';
import type { Asked } from './link/index.js';

/** Credit that is taken up before it is given back. */
const GRANT_EVERY = 16;

/** Gives a sidecar credit as fast as the caller takes its answer. */
export class Pace {
  /** Since when the caller has not kept up; undefined while it does. */
  blockedSinceMs: Ms | undefined;

  /** Since when it keeps up again. */
  freeSinceMs: Ms = 0;

  private asked: Asked | undefined;

  private taken = 0;

  constructor(
    private readonly answer: CallerAnswer,
    private readonly clock: Clock,
  ) {}

  /** A new attempt begins with full credit. */
  begin(asked: Asked): void {
    this.asked = asked;
    this.taken = 0;
  }

  /** One data frame was written; `free` tells whether the caller keeps up. */
  took(payload: Buffer, free: boolean): void {
    this.taken += creditCost(payload);
    if (!free) this.block();
    else if (this.taken >= GRANT_EVERY && this.blockedSinceMs === undefined) this.grant();
  }

  private block(): void {
    if (this.blockedSinceMs !== undefined) return;
    this.blockedSinceMs = this.clock.nowMs();
    this.answer.whenFree(() => {
      this.blockedSinceMs = undefined;
      this.freeSinceMs = this.clock.nowMs();
      this.grant();
    });
  }

  private grant(): void {
    if (this.taken > 0) this.asked?.grant(this.taken);
    this.taken = 0;
  }
}
