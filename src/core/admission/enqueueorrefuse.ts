/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { laneOf } from './laneof.js';
import { LANES } from './lanes.js';
import type { Offer } from './offer.js';
import { refuseWaiting } from './refusewaiting.js';
import type { Waiting } from './waiting.js';

/** Used for a kind that the document no longer contains. */
const DEFAULT_KIND = { priority: 'normal', longJob: false } as const;
/** Fraction of the queue that long jobs and background work may fill. */
const BACKGROUND_FRACTION = 0.5;

/**
 * Upper bound on the estimated time of a request, as a fraction of its kind's deadline. Without it, requests that are
 * estimated as too slow would never run, and the estimate would never be corrected.
 */
const MAX_REQUIRED_FRACTION = 0.5;

function describe(state: AdmissionState, offer: Offer, nowMs: Ms): Waiting {
  const deadlineAtMs = nowMs + offer.remainingMs;
  const longestMs = state.kinds.get(offer.kind)?.deadlineMs ?? offer.remainingMs;
  const requiredMs = Math.min(state.estimates.requiredMs(offer), MAX_REQUIRED_FRACTION * longestMs);
  const holdMs = state.estimates.holdMs(offer);
  return {
    offer,
    lane: laneOf(state.kinds.get(offer.kind) ?? DEFAULT_KIND),
    offeredAtMs: nowMs,
    deadlineAtMs,
    latestStartAtMs: offer.resumed ? Infinity : deadlineAtMs - requiredMs,
    holdMs,
    valuePerMs: (state.kinds.get(offer.kind)?.weight ?? 1) / holdMs,
    counted: undefined,
    place: 'lane',
  };
}

function isFull({ waiting, policy, accounts }: AdmissionState, { lane, offer }: Waiting): boolean {
  const { background, longJobs } = LANES[lane]!;
  const fraction = background || longJobs ? BACKGROUND_FRACTION : 1;
  if (waiting.size >= policy.queueLimit * fraction) return true;
  const own = accounts.of(offer.customer).waiting;
  return own >= accounts.queueLimit(offer.customer, policy.queueLimit);
}

/** Returns why a request must be refused, if so. One that has begun to answer is always accepted. */
function refusalReason(
  state: AdmissionState,
  waiting: Waiting,
): Extract<AdmissionEffect, { type: 'refuse' }>['failure'] | undefined {
  const { offer, latestStartAtMs } = waiting;
  if (offer.resumed) return undefined;
  const model = state.models.get(offer.model);
  if (model?.phase === 'absent') return 'model-absent';
  if (model?.phase === 'loading' && model.readyAtMs > latestStartAtMs) return 'model-absent';
  if (isFull(state, waiting)) return 'queue-full';
  return undefined;
}

/**
 * Puts a request in its lane, or among those waiting for its model to load. It is reviewed in the same step if it
 * cannot start at once.
 */
function enqueue(state: AdmissionState, waiting: Waiting, nowMs: Ms): void {
  const { offer, lane, latestStartAtMs } = waiting;
  state.waiting.set(offer.requestId, waiting);
  state.accounts.of(offer.customer).waiting += 1;
  if (latestStartAtMs < Infinity) state.reviews.push(nowMs, waiting);
  if (state.models.get(offer.model)?.phase !== 'loading') {
    state.lanes[lane]!.push(waiting);
    return;
  }
  const parked = state.parked.get(offer.model) ?? new Set<Waiting>();
  state.parked.set(offer.model, parked);
  parked.add(waiting);
  waiting.place = 'parked';
}

/** Queues a request, or refuses it at once. */
export function enqueueOrRefuse(state: AdmissionState, offer: Offer, nowMs: Ms): AdmissionEffect[] {
  const waiting = describe(state, offer, nowMs);
  const failure = refusalReason(state, waiting);
  state.inflows[waiting.lane]!.add(waiting.holdMs, nowMs);
  if (failure) return [refuseWaiting(state, waiting, failure, nowMs)];
  enqueue(state, waiting, nowMs);
  return [];
}
