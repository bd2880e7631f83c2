import type { Ms } from '../../base/index.js';

/** Load of one upstream of a plain service, as known to an entry. */
interface PlainLoad {
  /** Number of running and queued requests. */
  readonly load: number;
  readonly slots: number;
  /** Processing time of one request; infinite while unknown. */
  readonly serviceMs: Ms;
}

/** Returns the expected time to the answer of a request that is sent now and queues behind the others there. */
export function expectedAnswerMs({ load, slots, serviceMs }: PlainLoad): Ms {
  const ahead = Math.max(0, load + 1 - slots);
  return serviceMs * (1 + ahead / slots);
}
