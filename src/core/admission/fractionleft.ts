import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';

/** Fraction of the upstream that lower lanes are assumed to get at least. */
const MIN_FRACTION = 0.05;

/** Returns the fraction of the upstream that is left beside the work entering the lanes before this one. */
export function fractionLeft(state: AdmissionState, lane: number, nowMs: Ms): number {
  let taken = 0;
  for (let at = 0; at < lane; at += 1) taken += state.inflows[at]!.at(nowMs);
  return Math.max(MIN_FRACTION, 1 - taken / state.concurrency.limit);
}
