/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { AdmissionState } from './admissionstate.js';
import type { Waiting } from './waiting.js';

/** Takes a waiting request off its lane, or from those whose model is being loaded. */
export function leave(state: AdmissionState, waiting: Waiting): void {
  const { place, lane, offer } = waiting;
  if (place === 'lane') state.lanes[lane]!.drop(waiting);
  if (place === 'parked') state.parked.get(offer.model)?.delete(waiting);
  waiting.place = 'left';
  state.waiting.delete(offer.requestId);
}
