import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { stopWaiting } from './stopwaiting.js';
import { retryAfter } from './retryafter.js';
import type { Waiting } from './waiting.js';

type Failure = Extract<AdmissionEffect, { type: 'refuse' }>['failure'];

/** Refuses a queued request at once. The calling function has already removed it from its lane. */
export function refuseWaiting(
  state: AdmissionState,
  waiting: Waiting,
  failure: Failure,
  nowMs: Ms,
): AdmissionEffect {
  const { offer, lane, holdMs } = waiting;
  stopWaiting(state, waiting);
  state.inflows[lane]!.add(-holdMs, nowMs);
  const retryAfterMs = retryAfter(state, waiting, nowMs);
  return { type: 'refuse', requestId: offer.requestId, failure, retryAfterMs };
}
