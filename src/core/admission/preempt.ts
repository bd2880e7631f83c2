/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import type { Running } from './running.js';

/** Returns the preemptible request that loses least work: the one that started last. */
function latestPreemptible(state: AdmissionState, lane: number): Running | undefined {
  let latest: Running | undefined;
  for (const running of state.running.values()) {
    if (!running.isPreemptible || running.preempting || running.waiting.lane <= lane) continue;
    if (!latest || running.startedAtMs >= latest.startedAtMs) latest = running;
  }
  return latest;
}

/** Preempts one running request, if there is a preemptible one, in favour of a request of the given lane. */
export function preempt(state: AdmissionState, lane: number): AdmissionEffect[] {
  const victim = latestPreemptible(state, lane);
  if (!victim) return [];
  victim.preempting = true;
  state.preempting += 1;
  return [{ type: 'preempt', requestId: victim.waiting.offer.requestId }];
}
