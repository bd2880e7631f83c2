import type { Ms } from '../../base/index.js';
import type { AnswerTimes } from './answertimes.js';
import { stopLimits } from './stoplimits.js';

/** Records how long upstreams took for a complete answer. `times` is undefined before the first one of its kind. */
export function recordAnswer(times: AnswerTimes | undefined, tookMs: Ms, nowMs: Ms): AnswerTimes {
  if (!times) return { fromMs: nowMs, longestMs: tookMs, previousMs: 0 };
  const { fromMs, longestMs, previousMs } = times;
  if (nowMs - fromMs < stopLimits.answerWindowMs) {
    return { fromMs, longestMs: Math.max(longestMs, tookMs), previousMs };
  }
  // A window without answers does not forget the last ones, so that a rare kind of request stays known.
  return { fromMs: nowMs, longestMs: tookMs, previousMs: longestMs };
}
