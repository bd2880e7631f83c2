import type { Ms } from '../../base/index.js';
import type { Fleet, Target } from '../route/index.js';

/** Returns how long upstreams of a target's service take to the first event, or to the answer; 0 while unknown. */
export function answerTimeMs(fleet: Fleet, { service, model }: Target): Ms {
  let sumMs = 0;
  let count = 0;
  for (const { unloadedFirstEventMs, serviceMs } of fleet.upstreamsOf(service)) {
    const takesMs = model === undefined ? serviceMs : unloadedFirstEventMs;
    if (!Number.isFinite(takesMs)) continue;
    sumMs += takesMs;
    count += 1;
  }
  return count === 0 ? 0 : sumMs / count;
}
