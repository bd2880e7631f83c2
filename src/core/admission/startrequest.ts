/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { stopWaiting } from './stopwaiting.js';
import { LANES } from './lanes.js';
import type { Waiting } from './waiting.js';

/** Starts a request that was taken from its lane. */
export function startRequest(state: AdmissionState, waiting: Waiting, nowMs: Ms): AdmissionEffect {
  const { offer, lane, holdMs } = waiting;
  const { requestId } = offer;
  const kind = state.kinds.get(offer.kind);
  const longJob = kind?.longJob ?? false;
  const isPreemptible = (longJob || LANES[lane]!.background) && (kind?.repeatable ?? false);
  stopWaiting(state, waiting);
  const running = { waiting, longJob, isPreemptible, startedAtMs: nowMs };
  state.running.set(requestId, { ...running, answering: false, preempting: false });
  state.slotsFreedPerMs += 1 / holdMs;
  if (longJob) state.longRunning += 1;
  return { type: 'start', requestId };
}
