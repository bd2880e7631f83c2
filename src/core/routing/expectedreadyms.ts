import type { Ms } from '../../base/index.js';
import type { Target } from '../document/index.js';
import { loadKey } from './loadkey.js';
import { loadTimeMs } from './loadtimems.js';
import type { RoutingState } from './routingstate.js';

/**
 * Returns when a model that is being loaded should be ready: as estimated by the loading sidecar, otherwise from the
 * duration of earlier loads. Undefined if no upstream is known to load it.
 */
export function expectedReadyMs(state: RoutingState, target: Target, nowMs: Ms): Ms | undefined {
  const rescue = state.rescues.get(loadKey(target));
  if (rescue?.phase === 'loading') return rescue.untilMs;
  let earliestMs: Ms | undefined;
  for (const { phase, residents } of state.upstreams.values()) {
    const resident = target.model === undefined ? undefined : residents.get(target.model);
    if (phase === 'leaving' || phase === 'gone' || resident?.phase !== 'loading') continue;
    const readyMs = Math.max(nowMs, resident.sinceMs + loadTimeMs(state, target.model));
    earliestMs = Math.min(earliestMs ?? Infinity, readyMs);
  }
  return earliestMs;
}
