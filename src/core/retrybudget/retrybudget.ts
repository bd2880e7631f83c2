import type { Ms } from '../../base/index.js';
import type { Retry } from './retry.js';
import { SlidingWindow } from './slidingwindow.js';

/** Limits on retries. */
interface BudgetLimits {
  readonly windowMs: Ms;
  /** Retries allowed for each request in the window. */
  readonly ratio: number;
  /** Retries allowed beyond that in a window; depends on the number of entries that share it. */
  readonly slack: () => number;
  /** Returns false while no retry is allowed at all; absent if there is no such time. */
  readonly isOpen?: () => boolean;
}

/** A retry that counts in the current window. */
interface CountedRetry {
  /** Infinite until it is sent, so that it counts in every window. */
  sentAtMs: Ms;
}

/** One entry's share of a service's retry budget, enforced independently of the other entries. */
export class RetryBudget {
  private readonly requests = new SlidingWindow();

  /** Retries that are reserved or were sent in the current window. */
  private readonly retries = new Set<CountedRetry>();

  constructor(private readonly limits: BudgetLimits) {}

  /** Counts a caller's request to the service, unless no retry is allowed yet: budgets that open together would burst. */
  request(nowMs: Ms): void {
    if (this.limits.isOpen?.() !== false) this.requests.add(nowMs);
  }

  /**
   * Reserves one retry; undefined if none is left. A retry may wait for seconds before it is sent, and arrives in the
   * window of its send.
   */
  reserve(nowMs: Ms): Retry | undefined {
    const { retries, allowed } = this.usage(nowMs);
    if (retries + 1 > allowed) return undefined;
    const counted: CountedRetry = { sentAtMs: Infinity };
    this.retries.add(counted);
    return {
      reservedAtMs: nowMs,
      send: (sentAtMs) => this.send(counted, sentAtMs),
      withhold: () => {
        counted.sentAtMs = Infinity;
        this.retries.add(counted);
      },
      cancel: () => {
        if (counted.sentAtMs === Infinity) this.retries.delete(counted);
      },
    };
  }

  /** Returns the requests and retries in the current window, and how many retries it allows. */
  usage(nowMs: Ms): { requests: number; retries: number; allowed: number } {
    const { windowMs, ratio, slack, isOpen } = this.limits;
    for (const counted of this.retries) {
      if (counted.sentAtMs <= nowMs - windowMs) this.retries.delete(counted);
    }
    const requests = this.requests.count(nowMs, windowMs);
    const allowed = isOpen?.() === false ? 0 : ratio * requests + slack();
    return { requests, retries: this.retries.size, allowed };
  }

  private send(counted: CountedRetry, nowMs: Ms): boolean {
    const { allowed } = this.usage(nowMs);
    let sentCount = 0;
    for (const other of this.retries) {
      if (other !== counted && other.sentAtMs !== Infinity) sentCount += 1;
    }
    if (sentCount + 1 > allowed) return false;
    Object.assign(counted, { sentAtMs: nowMs });
    this.retries.add(counted);
    return true;
  }
}
