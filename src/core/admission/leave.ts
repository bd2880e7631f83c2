import type { AdmissionState } from './admissionstate.js';
import { forget } from './forget.js';
import type { Waiting } from './waiting.js';

/** Takes a waiting request off its lane, or from those whose model is being loaded. */
export function leave(state: AdmissionState, waiting: Waiting): void {
  const { place, lane, offer } = waiting;
  forget(state, waiting);
  if (place === 'lane') state.lanes[lane]!.drop(waiting);
  if (place === 'parked') state.parked.get(offer.model)?.delete(waiting);
}
