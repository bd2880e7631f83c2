import { refuse } from '../../core/refusal/index.js';
import type { Handler } from './handler.js';
import { refuseCaller } from './refusecaller.js';

/** A peer or the store usually answers well within this time. */
const RETRY_AFTER_MS = 1000;

const REFUSAL = refuse(
  'catching-up',
  'This entry has not received the configuration in force yet.',
  {
    retryAfterMs: RETRY_AFTER_MS,
  },
);

/** Refuses requests until this entry has caught up: before that, it does not know the customers' keys. */
export function requireCaughtUp(handler: Handler): Handler {
  return (context, caller) => {
    if (context.directory.caughtUp()) return handler(context, caller);
    refuseCaller(context, caller, REFUSAL);
    return Promise.resolve();
  };
}
