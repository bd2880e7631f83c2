import type { AttemptEnd } from './attemptend.js';
import type { Progress } from './progress.js';

/** Next step after an attempt. */
type Step =
  /** Try another upstream. */
  | { readonly type: 'again' }
  /** Continue the stream at another upstream. */
  | { readonly type: 'resume' }
  /** Pass the upstream's failure on to the caller. */
  | { readonly type: 'pass' }
  /** Refuse the request, stating that it was not run. */
  | { readonly type: 'refuse' }
  /** Fail the request, stating that it is unknown whether it ran. */
  | { readonly type: 'unknown' }
  /** Abort the answer so that it does not look complete. */
  | { readonly type: 'cut' };

/** Maximum number of refused attempts of one request, so that it does not use up the retry budget of others. */
const MAX_REFUSED = 3;
/** Minimum time for an attempt: connecting and the shortest processing time. */
const MIN_ATTEMPT_MS = 30;

const AGAIN: Step = { type: 'again' };

function afterNotRun(progress: Progress): Step {
  const giveUp: Step = progress.hasBegun
    ? { type: 'cut' }
    : { type: progress.ranCount > 0 ? 'unknown' : 'refuse' };
  if (progress.remainingMs < MIN_ATTEMPT_MS || progress.refusedCount > MAX_REFUSED) return giveUp;
  return progress.hasBegun ? { type: 'resume' } : AGAIN;
}

function mayRunAgain({ isRepeatable, ranCount, maxAttempts, remainingMs }: Progress): boolean {
  return isRepeatable && ranCount < maxAttempts && remainingMs >= MIN_ATTEMPT_MS;
}

function afterBroken(progress: Progress): Step {
  const again = mayRunAgain(progress);
  if (!progress.hasBegun) return again ? AGAIN : { type: 'unknown' };
  return again && progress.isResumable ? { type: 'resume' } : { type: 'cut' };
}

/** Decides what follows an attempt without a usable answer. A request that may have run is never refused. */
export function nextStep(progress: Progress, end: AttemptEnd): Step {
  if (end.type === 'not-run') return afterNotRun(progress);
  if (end.type === 'broken' || progress.hasBegun) return afterBroken(progress);
  return mayRunAgain(progress) ? AGAIN : { type: 'pass' };
}
