import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';
import { expectWait } from './expectwait.js';
import { fractionLeft } from './fractionleft.js';
import type { Waiting } from './waiting.js';

/** A burst of demand outlasts the current backlog: callers that retry sooner mostly find the upstream still full. */
const MIN_MS = 5000;
const MAX_MS = 60_000;
/** Estimates give the mean wait; twice that has to pass for a retry to be admitted with some certainty. */
const SAFETY_FACTOR = 2;
/** Fraction of the upstream that at least works off the backlog while similar requests keep arriving. */
const MIN_FRACTION = 0.25;

/** Returns by how much the wait of a similar request, offered now, would exceed the wait that it can afford. */
function excessMs(state: AdmissionState, { offer, lane }: Waiting, nowMs: Ms): Ms {
  const longestMs = state.kinds.get(offer.kind)?.deadlineMs ?? offer.remainingMs;
  const { customer } = offer;
  const candidate = { lane, customer, remainingMs: longestMs, longestMs, mayPreempt: true };
  const affordableMs = longestMs - state.estimates.requiredMs(offer);
  return Math.max(0, SAFETY_FACTOR * expectWait(state, candidate, nowMs) - affordableMs);
}

/**
 * Returns the time after which a similar request, with the full deadline of its kind, would probably be admitted: its
 * model is ready by then, and the excess backlog has been worked off. 0 if nothing is known.
 */
export function retryAfter(state: AdmissionState, waiting: Waiting, nowMs: Ms): Ms {
  const model = state.models.get(waiting.offer.model);
  if (model?.phase === 'absent') return 0;
  const readyInMs = model?.phase === 'loading' ? model.readyAtMs - nowMs : 0;
  const fraction = Math.max(MIN_FRACTION, fractionLeft(state, waiting.lane + 1, nowMs));
  const workedOffMs = excessMs(state, waiting, nowMs) / fraction;
  return Math.round(Math.min(MAX_MS, Math.max(readyInMs || MIN_MS, workedOffMs)));
}
