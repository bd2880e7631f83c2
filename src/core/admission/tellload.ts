import type { UpstreamLoad } from '../../wire/index.js';
import type { AdmissionState } from './admissionstate.js';

const FIRST_BACKGROUND_LANE = 4;

/** What is told of the load with each answer. The wait is that of a request of normal priority. */
export function tellLoad(state: AdmissionState): UpstreamLoad {
  const { running, waiting, lanes, pace, releaseRate } = state;
  const slots = pace.limit;
  let queuedMs = 0;
  for (const lane of lanes.slice(0, FIRST_BACKGROUND_LANE)) queuedMs += lane.queuedMs;
  const freeMs = running.size < slots || releaseRate === 0 ? 0 : 1 / releaseRate;
  const estimatedWaitMs = Math.round(freeMs + queuedMs / slots);
  return { running: running.size, queued: waiting.size, slots, estimatedWaitMs, ageMs: 0 };
}
