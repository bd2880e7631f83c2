import type { Ms } from '../../base/index.js';
import { compact } from './compact.js';
import type { QueueState } from './queuestate.js';
import type { Waiting } from './waiting.js';

/** Removes a request from the queue, and returns what is known of its wait; undefined if it does not wait. */
export function leave(state: QueueState, id: string, nowMs: Ms): Waiting | undefined {
  const draft = state;
  const waiting = state.waiting.get(id);
  if (!waiting) return undefined;
  waiting.isWaiting = false;
  state.waiting.delete(id);
  draft.sizeBytes -= waiting.request.sizeBytes;
  state.targets.get(waiting.request.target)?.remove(waiting, nowMs);
  compact(state);
  return waiting;
}
