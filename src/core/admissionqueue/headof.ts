import type { Ms } from '../../base/index.js';
import { advance } from './advance.js';
import type { QueueState } from './queuestate.js';
import type { Waiting } from './waiting.js';

/** Returns the request of a target that is to be sent next. */
export function headOf(state: QueueState, target: string, nowMs: Ms): Waiting | undefined {
  advance(state, nowMs);
  return state.targets.get(target)?.first();
}
