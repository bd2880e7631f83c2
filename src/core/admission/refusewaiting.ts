import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { forget } from './forget.js';
import { retryAfter } from './retryafter.js';
import type { Waiting } from './waiting.js';

type Failure = Extract<AdmissionEffect, { type: 'refuse' }>['failure'];

/** Gives up on a request that waited: its final answer, at once. The caller has taken it off its lane. */
export function refuseWaiting(
  state: AdmissionState,
  waiting: Waiting,
  failure: Failure,
  nowMs: Ms,
): AdmissionEffect {
  const { offer, lane, holdMs } = waiting;
  forget(state, waiting);
  state.inflows[lane]!.add(-holdMs, nowMs);
  const retryAfterMs = retryAfter(state, waiting, nowMs);
  return { type: 'refuse', requestId: offer.requestId, failure, retryAfterMs };
}
