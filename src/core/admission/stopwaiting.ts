/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { AdmissionState } from './admissionstate.js';
import type { Waiting } from './waiting.js';

/** Marks a request that was taken from its lane as no longer queued. */
export function stopWaiting(state: AdmissionState, waiting: Waiting): void {
  const { requestId, customer } = waiting.offer;
  waiting.place = 'left';
  if (state.waiting.delete(requestId)) state.accounts.of(customer).waiting -= 1;
}
