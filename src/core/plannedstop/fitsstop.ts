import type { Ms } from '../../base/index.js';
import type { AnswerTimes } from './answertimes.js';

/** A request that is about to be sent to an upstream by an entry that stops. */
interface LateRequest {
  /** Answers of its kind; undefined if there were none. */
  readonly times: AnswerTimes | undefined;
  /** Time until its deadline, at which it ends anyway. */
  readonly remainingMs: Ms;
  /** Time until the stop ends requests whose answers are not complete. */
  readonly leftMs: Ms;
  /** True if its caller may send it again after it was cut. */
  readonly isRepeatable: boolean;
}

/**
 * Returns true if a stop leaves enough time for a request's answer. The longest recent answer counts, because a request
 * that is refused can be served by another entry at once, and one that is cut may have run. Where nothing is known,
 * only requests that may be repeated are sent.
 */
export function fitsStop({ times, remainingMs, leftMs, isRepeatable }: LateRequest): boolean {
  if (leftMs <= 0) return false;
  if (remainingMs <= leftMs) return true;
  if (!times) return isRepeatable;
  return Math.max(times.longestMs, times.previousMs) < leftMs;
}
