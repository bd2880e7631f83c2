import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';
import type { Waiting } from './waiting.js';

/** Collects what the expected wait of a queued request depends on. */
export function candidateOf(
  state: AdmissionState,
  waiting: Waiting,
  nowMs: Ms,
  mayPreempt: boolean,
) {
  const { offer, lane, deadlineAtMs } = waiting;
  return {
    lane,
    mayPreempt,
    customer: offer.customer,
    remainingMs: deadlineAtMs - nowMs,
    longestMs: state.kinds.get(offer.kind)?.deadlineMs ?? offer.remainingMs,
  };
}
