/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import type { Running } from './running.js';

/** The running request that yields and has lost least: the one that started last. */
function latestThatYields(state: AdmissionState, lane: number): Running | undefined {
  let latest: Running | undefined;
  for (const running of state.running.values()) {
    if (!running.yields || running.preempting || running.waiting.lane <= lane) continue;
    if (!latest || running.startedAtMs >= latest.startedAtMs) latest = running;
  }
  return latest;
}

/** Has the running long job that yields best make room for a request of the lane. */
export function preempt(state: AdmissionState, lane: number): AdmissionEffect[] {
  const victim = latestThatYields(state, lane);
  if (!victim) return [];
  victim.preempting = true;
  state.preempting += 1;
  return [{ type: 'preempt', requestId: victim.waiting.offer.requestId }];
}
