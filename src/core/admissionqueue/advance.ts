import type { Ms } from '../../base/index.js';
import { groupOf } from './groupof.js';
import { nextChangeAtMs } from './nextchangeatms.js';
import type { QueueState } from './queuestate.js';

/** Moves the requests whose rank or lateness has changed. Each request moves a few times at most. */
export function advance(state: QueueState, nowMs: Ms): void {
  const { changes, targets } = state;
  while (changes.peekKey() <= nowMs) {
    const waiting = changes.pop()!;
    if (!waiting.isWaiting) continue;
    const { request } = waiting;
    const group = groupOf(request, nowMs);
    if (group !== waiting.group) targets.get(request.target)?.move(waiting, group);
    const atMs = nextChangeAtMs(request, nowMs);
    if (Number.isFinite(atMs)) changes.push(atMs, waiting);
  }
}
