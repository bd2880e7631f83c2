import type { WeightOptions } from './weightoptions.js';
import type { WeightState } from './weightstate.js';

const MS_PER_SECOND = 1000;

/** Adds a load, which starts as soon as the rate limit allows. */
export function addLoad(
  state: WeightState,
  sizeBytes: number,
  options: WeightOptions,
): WeightState {
  const gapMs = MS_PER_SECOND / options.loadsPerSecond;
  const startsAtMs = Math.max(state.atMs, state.lastStartAtMs + gapMs);
  const load = { id: state.nextId, startsAtMs, remainingBytes: sizeBytes };
  return {
    ...state,
    nextId: state.nextId + 1,
    lastStartAtMs: startsAtMs,
    loads: [...state.loads, load],
  };
}
