import type { UpstreamLoad } from '../../wire/index.js';
import type { AdmissionState } from './admissionstate.js';

const FIRST_BACKGROUND_LANE = 4;

/** Returns the load report sent with each answer. Its estimated wait is that of a request of normal priority. */
export function reportLoad(state: AdmissionState): UpstreamLoad {
  const { running, waiting, lanes, concurrency, slotsFreedPerMs } = state;
  const slots = concurrency.limit;
  let queuedMs = 0;
  for (const lane of lanes.slice(0, FIRST_BACKGROUND_LANE)) queuedMs += lane.queuedMs;
  const freeMs = running.size < slots || slotsFreedPerMs === 0 ? 0 : 1 / slotsFreedPerMs;
  const estimatedWaitMs = Math.round(freeMs + queuedMs / slots);
  return { running: running.size, queued: waiting.size, slots, estimatedWaitMs, ageMs: 0 };
}
