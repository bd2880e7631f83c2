import { refuse } from '../../core/refusal/index.js';
import type { Handler } from './handler.js';
import { refuseCaller } from './refusecaller.js';

/** A peer or the store usually answers well within this. */
const RETRY_AFTER_MS = 1000;

const REFUSAL = refuse('catching-up', 'This entry does not know yet what is in force.', {
  retryAfterMs: RETRY_AFTER_MS,
});

/** Serves callers only once this entry has caught up: before that, it cannot tell who they are. */
export function onceCaughtUp(handler: Handler): Handler {
  return (desk, caller) => {
    if (desk.directory.caughtUp()) return handler(desk, caller);
    refuseCaller(desk, caller, REFUSAL);
    return Promise.resolve();
  };
}
