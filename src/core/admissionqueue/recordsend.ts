import type { Ms } from '../../base/index.js';
import type { QueueRequest } from './queuerequest.js';
import type { QueueState } from './queuestate.js';
import { targetQueueOf } from './targetqueueof.js';

/** Records that a request was sent, whether or not it has waited. */
export function recordSend(
  state: QueueState,
  request: Pick<QueueRequest, 'target' | 'service' | 'rank' | 'customer' | 'tokens'>,
  hasWaited: boolean,
  nowMs: Ms,
): void {
  const { target, service, rank, customer, tokens } = request;
  targetQueueOf(state, { target, service }).rate.sent(rank, hasWaited, nowMs);
  state.usage.get(service)?.add(customer, tokens, nowMs);
}
