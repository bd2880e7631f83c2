import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';

/** Part of the upstream that lower lanes are taken to get at least. */
const LEAST_PART = 0.05;

/** Part of the upstream that is left beside the work that comes into the lanes before. */
export function partLeft(state: AdmissionState, lane: number, nowMs: Ms): number {
  let taken = 0;
  for (let at = 0; at < lane; at += 1) taken += state.inflows[at]!.at(nowMs);
  return Math.max(LEAST_PART, 1 - taken / state.pace.limit);
}
