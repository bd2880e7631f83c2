/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { laneOf } from './laneof.js';
import { LANES } from './lanes.js';
import type { Offer } from './offer.js';
import { refuseWaiting } from './refusewaiting.js';
import type { Waiting } from './waiting.js';

/** For a kind that the document no longer names. */
const DEFAULT_KIND = { priority: 'normal', longJob: false } as const;
/** Part of the queue that long jobs and background work may fill. */
const BACKGROUND_PART = 0.5;

/**
 * An estimate of more than this part of the time that a kind allows is not believed: who is never tried
 * can never be found to be quicker.
 */
const LARGEST_NEED_PART = 0.5;

function describe(state: AdmissionState, offer: Offer, nowMs: Ms): Waiting {
  const deadlineAtMs = nowMs + offer.remainingMs;
  const longestMs = state.kinds.get(offer.kind)?.deadlineMs ?? offer.remainingMs;
  const needMs = Math.min(state.estimates.needMs(offer), LARGEST_NEED_PART * longestMs);
  const holdMs = state.estimates.holdMs(offer);
  return {
    offer,
    lane: laneOf(state.kinds.get(offer.kind) ?? DEFAULT_KIND),
    offeredAtMs: nowMs,
    deadlineAtMs,
    latestStartAtMs: offer.resumed ? Infinity : deadlineAtMs - needMs,
    holdMs,
    worth: (state.kinds.get(offer.kind)?.weight ?? 1) / holdMs,
    counted: undefined,
    place: 'lane',
  };
}

function isFull({ waiting, policy, accounts }: AdmissionState, { lane, offer }: Waiting): boolean {
  const { background, longJobs } = LANES[lane]!;
  const part = background || longJobs ? BACKGROUND_PART : 1;
  if (waiting.size >= policy.queueLimit * part) return true;
  const own = accounts.of(offer.customer).waiting;
  return own >= accounts.queueLimit(offer.customer, policy.queueLimit);
}

/** Why a request cannot be taken, if it cannot. One that has begun to answer always is. */
function objection(
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
 * Puts a request in its lane, or with those that wait for its model. It is reviewed in the same step if
 * it cannot start at once.
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

/** Takes a request, or refuses it at once. */
export function offered(state: AdmissionState, offer: Offer, nowMs: Ms): AdmissionEffect[] {
  const waiting = describe(state, offer, nowMs);
  const failure = objection(state, waiting);
  state.inflows[waiting.lane]!.add(waiting.holdMs, nowMs);
  if (failure) return [refuseWaiting(state, waiting, failure, nowMs)];
  enqueue(state, waiting, nowMs);
  return [];
}
