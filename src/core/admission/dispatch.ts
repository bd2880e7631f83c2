/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { limitOf } from './limitof.js';
import { refuseWaiting } from './refusewaiting.js';
import type { Waiting } from './waiting.js';

const BACKGROUND_LANE = 4;

/** Whether a long job of this lane may start now. */
function longAllowed({ longRunning, policy }: AdmissionState): boolean {
  return longRunning < policy.longJobs;
}

function start(state: AdmissionState, waiting: Waiting, nowMs: Ms): AdmissionEffect {
  const { offer, lane, holdMs } = waiting;
  const { requestId } = offer;
  const kind = state.kinds.get(offer.kind);
  const longJob = kind?.longJob ?? false;
  const yields = (longJob || lane >= BACKGROUND_LANE) && (kind?.repeatable ?? false);
  waiting.place = 'left';
  state.waiting.delete(requestId);
  const running = { waiting, longJob, yields, startedAtMs: nowMs };
  state.running.set(requestId, { ...running, answering: false, preempting: false });
  state.releaseRate += 1 / holdMs;
  if (longJob) state.longRunning += 1;
  return { type: 'start', requestId };
}

/** Starts what may start now, lane by lane: no place stays free while somebody may use it. */
export function dispatch(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  for (const [index, lane] of state.lanes.entries()) {
    const isLong = index % 2 === 1;
    while (lane.count > 0 && state.running.size < limitOf(state, index)) {
      if (isLong && !longAllowed(state)) break;
      const next = lane.take();
      if (!next) break;
      const late = next.latestStartAtMs < nowMs;
      if (late) effects.push(refuseWaiting(state, next, 'deadline-unmeetable', nowMs));
      else effects.push(start(state, next, nowMs));
    }
  }
  return effects;
}
