import type { Ms } from '../../base/index.js';
import { queueRules } from './queuerules.js';

const { rateMs, sendsMs, forgetMs, ranks } = queueRules;
/** Lower bound of the observed time, so that the rate stays finite. */
const MIN_WINDOW_MS = 0.001;
/** Lower bound of the time for which sends are observed: a few sends within a shorter time are not a rate. */
const MIN_SENDS_WINDOW_MS = 500;
/** Part of the slots that is left for a rank at least: more urgent requests do not arrive evenly. */
const MIN_SHARE = 0.05;

/** Returns the time that a decaying count covers after `observedMs`. */
function windowMs(timeConstantMs: Ms, observedMs: Ms): Ms {
  return timeConstantMs * (1 - Math.exp(-observedMs / timeConstantMs));
}

/**
 * Rate at which slots become free for the requests of a target: that of its admissions while requests wait, less the
 * sends of more urgent requests. Admissions while none waits only show how many requests arrive. A period of waiting
 * begins with one assumed admission: before the first real one, the expected time to an admission equals the time for
 * which there was none.
 */
export class SlotRate {
  /** Decaying number of admissions while requests waited, with the assumed one. */
  private count = 1;

  /** Time for which requests have waited. */
  private observedMs: Ms = 0;

  private atMs: Ms = -Infinity;

  private isObserving = false;

  /** True if a request has found a free slot since the last period of waiting. */
  private hasFoundFree = true;

  /** Decaying number of sends by rank, whether or not requests waited. */
  private readonly sends = new Float64Array(ranks);

  private sendsAtMs: Ms = -Infinity;

  private sendsSinceMs: Ms = -Infinity;

  /** Starts a period in which requests wait. */
  begin(nowMs: Ms): void {
    if (this.isObserving) return;
    if (this.hasFoundFree || nowMs - this.atMs > forgetMs) {
      this.count = 1;
      this.observedMs = 0;
    }
    this.isObserving = true;
    this.hasFoundFree = false;
    this.atMs = nowMs;
  }

  /** Ends a period in which requests wait. */
  end(nowMs: Ms): void {
    this.advance(nowMs);
    this.isObserving = false;
  }

  sent(rank: number, hasWaited: boolean, nowMs: Ms): void {
    this.advance(nowMs);
    if (this.isObserving || hasWaited) this.count += 1;
    else this.hasFoundFree = true;
    if (nowMs - this.sendsAtMs > sendsMs) {
      this.sends.fill(0);
      this.sendsSinceMs = nowMs;
    } else {
      const factor = Math.exp((this.sendsAtMs - nowMs) / sendsMs);
      for (let at = 0; at < ranks; at += 1) this.sends[at]! *= factor;
    }
    this.sends[rank]! += 1;
    this.sendsAtMs = nowMs;
  }

  /** Returns the slots that become free per ms for requests of a rank. */
  perMs(rank: number, nowMs: Ms): number {
    this.advance(nowMs);
    const perMs = this.count / Math.max(MIN_WINDOW_MS, windowMs(rateMs, this.observedMs));
    return Math.max(perMs * MIN_SHARE, perMs - this.moreUrgentPerMs(rank, nowMs));
  }

  isForgotten(nowMs: Ms): boolean {
    return !this.isObserving && nowMs - Math.max(this.atMs, this.sendsAtMs) > sendsMs;
  }

  private moreUrgentPerMs(rank: number, nowMs: Ms): number {
    let count = 0;
    for (let at = 0; at < rank; at += 1) count += this.sends[at]!;
    if (count === 0) return 0;
    const observedMs = windowMs(sendsMs, nowMs - this.sendsSinceMs);
    const decay = Math.exp((this.sendsAtMs - nowMs) / sendsMs);
    return (count * decay) / Math.max(MIN_SENDS_WINDOW_MS, observedMs);
  }

  private advance(nowMs: Ms): void {
    if (!this.isObserving || nowMs <= this.atMs) return;
    const passedMs = nowMs - this.atMs;
    this.count *= Math.exp(-passedMs / rateMs);
    this.observedMs += passedMs;
    this.atMs = nowMs;
  }
}
