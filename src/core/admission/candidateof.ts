import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';
import type { Waiting } from './waiting.js';

/** What the wait of a request depends on. */
export function candidateOf(state: AdmissionState, waiting: Waiting, nowMs: Ms, yielding: boolean) {
  const { offer, lane, deadlineAtMs } = waiting;
  return {
    lane,
    yielding,
    customer: offer.customer,
    remainingMs: deadlineAtMs - nowMs,
    longestMs: state.kinds.get(offer.kind)?.deadlineMs ?? offer.remainingMs,
  };
}
