import type { Ms } from '../../base/index.js';
import { plainWaitRules } from './plainwaitrules.js';

/** An answer, with the load of its upstream when the request was sent. */
interface Answered {
  readonly tookMs: Ms;
  readonly load: number;
  readonly slots: number;
}

/** Updates the average processing time of a request from an answer whose time may include queueing. */
export function learnService(serviceMs: Ms, { tookMs, load, slots }: Answered): Ms {
  const ahead = Math.max(0, load + 1 - slots);
  const sampleMs = tookMs / (1 + ahead / slots);
  if (!Number.isFinite(serviceMs)) return sampleMs;
  return serviceMs + (sampleMs - serviceMs) * plainWaitRules.newSampleWeight;
}
