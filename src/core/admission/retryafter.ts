import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';
import { expectWait } from './expectwait.js';
import { partLeft } from './partleft.js';
import type { Waiting } from './waiting.js';

/** Demand that bursts outlasts the backlog of the moment: who comes back sooner mostly finds the same. */
const LEAST_MS = 5000;
const LONGEST_MS = 60_000;
/** Estimates are for the mean; to be taken with some certainty, twice the wait has to be gone. */
const CAUTION = 2;
/** Part of the upstream that works the backlog off, at least, while more of the same comes in. */
const LEAST_PART = 0.25;

/** What the wait of a like request, offered now, would exceed the wait that it can afford by. */
function excessMs(state: AdmissionState, { offer, lane }: Waiting, nowMs: Ms): Ms {
  const longestMs = state.kinds.get(offer.kind)?.deadlineMs ?? offer.remainingMs;
  const { customer } = offer;
  const candidate = { lane, customer, remainingMs: longestMs, longestMs, yielding: true };
  const affordableMs = longestMs - state.estimates.needMs(offer);
  return Math.max(0, CAUTION * expectWait(state, candidate, nowMs) - affordableMs);
}

/**
 * When a like request, with all the time that its kind allows, would probably be taken: its model is
 * ready by then, and what is too much of the backlog has been worked off. 0 if nothing is known.
 */
export function retryAfter(state: AdmissionState, waiting: Waiting, nowMs: Ms): Ms {
  const model = state.models.get(waiting.offer.model);
  if (model?.phase === 'absent') return 0;
  const readyInMs = model?.phase === 'loading' ? model.readyAtMs - nowMs : 0;
  const part = Math.max(LEAST_PART, partLeft(state, waiting.lane + 1, nowMs));
  const workedOffMs = excessMs(state, waiting, nowMs) / part;
  return Math.round(Math.min(LONGEST_MS, Math.max(readyInMs || LEAST_MS, workedOffMs)));
}
