import type { Ms } from '../../base/index.js';

/** The longest answers of one kind of request, in the current window and the one before it. */
export interface AnswerTimes {
  readonly fromMs: Ms;
  readonly longestMs: Ms;
  readonly previousMs: Ms;
}
