import type { WeightOptions } from './weightoptions.js';
import type { WeightState } from './weightstate.js';

const DONE_BYTES = 1;

function speed(running: number, options: WeightOptions): number {
  return options.bytesPerMs * Math.min(1, options.parallelLoads / Math.max(1, running));
}

/** Returns when the next load starts or completes; undefined if there are no loads. */
function nextChangeAtMs(state: WeightState, options: WeightOptions): number | undefined {
  const running = state.loads.filter(({ startsAtMs }) => startsAtMs <= state.atMs);
  const bytesPerMs = speed(running.length, options);
  const times = state.loads.map(({ startsAtMs, remainingBytes }) =>
    startsAtMs > state.atMs ? startsAtMs : state.atMs + remainingBytes / bytesPerMs,
  );
  return times.length > 0 ? Math.min(...times) : undefined;
}

function advanceTo(state: WeightState, atMs: number, options: WeightOptions): WeightState {
  const running = state.loads.filter(({ startsAtMs }) => startsAtMs <= state.atMs);
  const movedBytes = (atMs - state.atMs) * speed(running.length, options);
  const loads = state.loads.map((load) =>
    load.startsAtMs <= state.atMs
      ? { ...load, remainingBytes: load.remainingBytes - movedBytes }
      : load,
  );
  return { ...state, atMs, loads };
}

/** Advances the weight store to a time. Returns the completed loads and when to call this again. */
export function advance(
  start: WeightState,
  nowMs: number,
  options: WeightOptions,
): {
  readonly state: WeightState;
  readonly doneIds: readonly number[];
  readonly wakeAtMs?: number;
} {
  let state = start;
  const doneIds: number[] = [];
  for (;;) {
    const nextMs = nextChangeAtMs(state, options);
    if (nextMs === undefined) return { state: { ...state, atMs: nowMs }, doneIds };
    if (nextMs > nowMs) {
      return { state: advanceTo(state, nowMs, options), doneIds, wakeAtMs: nextMs };
    }
    state = advanceTo(state, nextMs, options);
    const done = state.loads.filter(({ remainingBytes }) => remainingBytes < DONE_BYTES);
    doneIds.push(...done.map(({ id }) => id));
    state = { ...state, loads: state.loads.filter((load) => !done.includes(load)) };
  }
}
