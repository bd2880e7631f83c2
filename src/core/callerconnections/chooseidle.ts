import type { Ms } from '../../base/index.js';

/** A connection without a request. */
interface Idle<Id> {
  readonly id: Id;
  /** True if it has brought a request. */
  readonly isUsed: boolean;
  readonly progressAtMs: Ms;
}

/**
 * Returns the connection to close in favor of another: one that has brought no request, else any; of these the one that
 * was idle for longest, whose caller is least likely to be sending.
 */
export function chooseIdle<Id>(idle: Iterable<Idle<Id>>): Id | undefined {
  let chosen: Idle<Id> | undefined;
  for (const candidate of idle) {
    const isFirst = !chosen || (chosen.isUsed && !candidate.isUsed);
    const isOlder = chosen?.isUsed === candidate.isUsed;
    if (isFirst || (isOlder && candidate.progressAtMs < chosen!.progressAtMs)) chosen = candidate;
  }
  return chosen?.id;
}
