import { CustomerUsage } from './customerusage.js';
import type { QueueRequest } from './queuerequest.js';
import type { QueueState } from './queuestate.js';
import { TargetQueue } from './targetqueue.js';

/** Returns the queue of a request's target, which is created if there is none. */
export function targetQueueOf(
  state: QueueState,
  { target, service }: Pick<QueueRequest, 'target' | 'service'>,
): TargetQueue {
  const known = state.targets.get(target);
  if (known) return known;
  const usage = state.usage.get(service) ?? new CustomerUsage();
  state.usage.set(service, usage);
  const queue = new TargetQueue(usage);
  state.targets.set(target, queue);
  return queue;
}
