import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';
import { LANES } from './lanes.js';
import { limitOf } from './limitof.js';
import { fractionLeft } from './fractionleft.js';

/** Assumed fraction of the capacity that is left once every customer has received its share. */
const FRACTION_BEYOND_SHARES = 0.5;

/** The request whose wait is estimated. */
interface Candidate {
  readonly lane: number;
  readonly customer: string;
  /** Time until its deadline. */
  readonly remainingMs: Ms;
  /** Deadline of its kind, counted from the offer. */
  readonly longestMs: Ms;
  /** True if the slots of long jobs, which can be preempted, count as available to it. */
  readonly mayPreempt: boolean;
}

/** Returns the number of slots that requests of this lane can use. */
function places(state: AdmissionState, { lane, mayPreempt }: Candidate): number {
  const held = mayPreempt && !LANES[lane]!.background ? 0 : state.longRunning;
  return Math.max(1, limitOf(state, lane) - held);
}

/** Returns the mean time until a running request frees its slot; 0 if one is free. */
function nextFreeMs(state: AdmissionState, { lane, mayPreempt }: Candidate): Ms {
  if (state.running.size < limitOf(state, lane)) return 0;
  if (mayPreempt && !LANES[lane]!.background && state.longRunning > 0) return state.estimates.gapMs;
  return state.slotsFreedPerMs > 0 ? 1 / state.slotsFreedPerMs : 0;
}

/** Returns the fraction of its lane that is due earlier, assuming deadlines are spread evenly. */
function earlierFraction({ remainingMs, longestMs }: Candidate): number {
  return Math.min(1, Math.max(0, remainingMs) / longestMs);
}

/** Returns the queued work that starts earlier if all customers are treated alike. */
function allAheadMs({ lanes }: AdmissionState, candidate: Candidate): Ms {
  const { lane, customer } = candidate;
  const ownMs = lanes[lane]!.queuedOf(customer);
  let aheadMs = lanes[lane]!.queuedMs - ownMs + ownMs * earlierFraction(candidate);
  for (let at = 0; at < lane; at += 1) aheadMs += lanes[at]!.queuedMs;
  return aheadMs;
}

/** Returns the queued work of the same customer that starts earlier. */
function ownAheadMs({ lanes }: AdmissionState, candidate: Candidate): Ms {
  const { lane, customer } = candidate;
  let aheadMs = lanes[lane]!.queuedOf(customer) * earlierFraction(candidate);
  for (let at = 0; at < lane; at += 1) aheadMs += lanes[at]!.queuedOf(customer);
  return aheadMs;
}

/**
 * Returns the fraction of the upstream that a customer can count on now. Beyond its share, it divides what is left
 * equally with the other customers that have requests queued.
 */
function fractionFor(state: AdmissionState, { lane, customer }: Candidate, nowMs: Ms): number {
  const { accounts, concurrency, lanes } = state;
  if (accounts.isWithinShare(customer, concurrency.limit, nowMs)) return 1;
  const equalFraction = FRACTION_BEYOND_SHARES / (lanes[lane]!.customerCount + 1);
  return Math.max(accounts.of(customer).fraction, equalFraction);
}

/**
 * Returns the expected time until a request would start if it were offered now: behind all work that goes before it,
 * or by the share of its customer, whichever is sooner. While a customer has not used up its share, only its own work
 * goes before.
 */
export function expectWait(state: AdmissionState, candidate: Candidate, nowMs: Ms): Ms {
  const { lane } = candidate;
  const freeMs = nextFreeMs(state, candidate);
  const allMs = allAheadMs(state, candidate);
  if (freeMs === 0 && allMs === 0) return 0;
  const slots = places(state, candidate);
  const fraction = fractionFor(state, candidate, nowMs);
  const behindAllMs = allMs / slots / fractionLeft(state, lane, nowMs);
  const byShareMs = ownAheadMs(state, candidate) / slots / fraction;
  return freeMs + Math.min(behindAllMs, byShareMs);
}
