import type { AttemptEnd } from './attemptend.js';
import type { Progress } from './progress.js';

/** What to do after an attempt. */
type Step =
  /** Try another upstream; `costs` if that draws on the retry budget. */
  | { readonly type: 'again'; readonly costs: boolean }
  /** Go on with the stream at another upstream. */
  | { readonly type: 'resume' }
  /** Give the caller the upstream's own failure. */
  | { readonly type: 'pass' }
  /** Tell the caller that it was not run. */
  | { readonly type: 'refuse' }
  /** Tell the caller that nobody knows whether it ran. */
  | { readonly type: 'unknown' }
  /** Break the answer off, so that it does not look complete. */
  | { readonly type: 'cut' };

/** Refused attempts of one request: more would spend the budget of others on one. */
const MOST_REFUSED = 3;
/** With less time than this left no upstream could answer: a connection and the shortest work. */
const LEAST_MS = 30;

const AGAIN: Step = { type: 'again', costs: true };

function afterNotRun(progress: Progress, wasSent: boolean): Step {
  const giveUp: Step = progress.hasBegun
    ? { type: 'cut' }
    : { type: progress.ranCount > 0 ? 'unknown' : 'refuse' };
  if (progress.remainingMs < LEAST_MS || progress.refusedCount > MOST_REFUSED) return giveUp;
  if (progress.hasBegun) return { type: 'resume' };
  return wasSent ? AGAIN : { type: 'again', costs: false };
}

function mayRunAgain({ isRepeatable, ranCount, maxAttempts, remainingMs }: Progress): boolean {
  return isRepeatable && ranCount < maxAttempts && remainingMs >= LEAST_MS;
}

function afterBroken(progress: Progress): Step {
  const again = mayRunAgain(progress);
  if (!progress.hasBegun) return again ? AGAIN : { type: 'unknown' };
  return again && progress.isResumable ? { type: 'resume' } : { type: 'cut' };
}

/** Decides what follows an attempt that gave no good answer. A request that may have run is never refused. */
export function nextStep(progress: Progress, end: AttemptEnd): Step {
  if (end.type === 'not-run') return afterNotRun(progress, end.wasSent);
  if (end.type === 'failed') return mayRunAgain(progress) ? AGAIN : { type: 'pass' };
  return afterBroken(progress);
}
