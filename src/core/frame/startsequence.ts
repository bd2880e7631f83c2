import type { Sequence } from './sequence.js';

/** Returns the state before the first frame of an attempt. */
export function startSequence(requestId: string, attempt: number): Sequence {
  return { requestId, attempt, next: 0, dataCount: 0, phase: 'waiting' };
}
