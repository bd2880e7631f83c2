/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { forget } from './forget.js';
import { LANES } from './lanes.js';
import type { Waiting } from './waiting.js';

/** Starts a request that its lane has given out. */
export function start(state: AdmissionState, waiting: Waiting, nowMs: Ms): AdmissionEffect {
  const { offer, lane, holdMs } = waiting;
  const { requestId } = offer;
  const kind = state.kinds.get(offer.kind);
  const longJob = kind?.longJob ?? false;
  const yields = (longJob || LANES[lane]!.background) && (kind?.repeatable ?? false);
  forget(state, waiting);
  const running = { waiting, longJob, yields, startedAtMs: nowMs };
  state.running.set(requestId, { ...running, answering: false, preempting: false });
  state.releaseRate += 1 / holdMs;
  if (longJob) state.longRunning += 1;
  return { type: 'start', requestId };
}
