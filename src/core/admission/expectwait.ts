import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';
import { LANES } from './lanes.js';
import { limitOf } from './limitof.js';
import { partLeft } from './partleft.js';

/** What is taken to be left when all have had their shares. */
const PART_BEYOND = 0.5;

/** What an estimate is made for. */
interface Candidate {
  readonly lane: number;
  readonly customer: string;
  /** Time until its deadline. */
  readonly remainingMs: Ms;
  /** Time that its kind allows from the offer. */
  readonly longestMs: Ms;
  /** Whether long jobs that yield are counted as places that it can have. */
  readonly yielding: boolean;
}

/** Places that work of this lane passes through. */
function places(state: AdmissionState, { lane, yielding }: Candidate): number {
  const held = yielding && !LANES[lane]!.background ? 0 : state.longRunning;
  return Math.max(1, limitOf(state, lane) - held);
}

/** Time until a running request gives its place back, in the mean. */
function nextFreeMs(state: AdmissionState, { lane, yielding }: Candidate): Ms {
  if (state.running.size < limitOf(state, lane)) return 0;
  if (yielding && !LANES[lane]!.background && state.longRunning > 0) return state.estimates.gapMs;
  return state.releaseRate > 0 ? 1 / state.releaseRate : 0;
}

/** Part of what waits in its own lane that is due earlier: taken to be spread evenly over the time. */
function earlierPart({ remainingMs, longestMs }: Candidate): number {
  return Math.min(1, Math.max(0, remainingMs) / longestMs);
}

/** Work that starts before, if every customer's counts alike. */
function allAheadMs({ lanes }: AdmissionState, candidate: Candidate): Ms {
  const { lane, customer } = candidate;
  const ownMs = lanes[lane]!.queuedOf(customer);
  let aheadMs = lanes[lane]!.queuedMs - ownMs + ownMs * earlierPart(candidate);
  for (let at = 0; at < lane; at += 1) aheadMs += lanes[at]!.queuedMs;
  return aheadMs;
}

/** Work of the same customer that starts before. */
function ownAheadMs({ lanes }: AdmissionState, candidate: Candidate): Ms {
  const { lane, customer } = candidate;
  let aheadMs = lanes[lane]!.queuedOf(customer) * earlierPart(candidate);
  for (let at = 0; at < lane; at += 1) aheadMs += lanes[at]!.queuedOf(customer);
  return aheadMs;
}

/**
 * Part of the upstream that a customer can count on now. Beyond its share it has an equal turn with the
 * others who wait, in what is left.
 */
function partOf(state: AdmissionState, { lane, customer }: Candidate, nowMs: Ms): number {
  const { accounts, pace, lanes } = state;
  if (accounts.isWithin(customer, pace.limit, nowMs)) return 1;
  const turn = PART_BEYOND / (lanes[lane]!.customerCount + 1);
  return Math.max(accounts.of(customer).part, turn);
}

/**
 * Expected time until a request would start if it were offered now: behind all that goes before it, or
 * by the share of its customer, whichever is sooner. While a customer has not used its share up, only its
 * own work goes before.
 */
export function expectWait(state: AdmissionState, candidate: Candidate, nowMs: Ms): Ms {
  const { lane } = candidate;
  const freeMs = nextFreeMs(state, candidate);
  const allMs = allAheadMs(state, candidate);
  if (freeMs === 0 && allMs === 0) return 0;
  const room = places(state, candidate);
  const part = partOf(state, candidate, nowMs);
  const behindAllMs = allMs / room / partLeft(state, lane, nowMs);
  const byShareMs = ownAheadMs(state, candidate) / room / part;
  return freeMs + Math.min(behindAllMs, byShareMs);
}
