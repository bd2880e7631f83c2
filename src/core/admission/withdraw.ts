import type { AdmissionState } from './admissionstate.js';
import { stopWaiting } from './stopwaiting.js';
import type { Waiting } from './waiting.js';

/** Removes a queued request from its lane, or from the requests waiting for a model load. */
export function withdraw(state: AdmissionState, waiting: Waiting): void {
  const { place, lane, offer } = waiting;
  stopWaiting(state, waiting);
  if (place === 'lane') state.lanes[lane]!.drop(waiting);
  if (place === 'parked') state.parked.get(offer.model)?.delete(waiting);
}
