import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { candidateOf } from './candidateof.js';
import { expectWait } from './expectwait.js';
import { withdraw } from './withdraw.js';
import { preempt } from './preempt.js';
import { refuseWaiting } from './refusewaiting.js';
import type { Waiting } from './waiting.js';

/**
 * Fraction of the expected wait that counts against the deadline when deciding whether to refuse a queued request.
 * It is low because a request must be refused only if it really cannot start in time.
 */
const WAIT_FACTOR = 0.3;
const MIN_INTERVAL_MS = 20;
/** Fraction of its remaining time that a request may be expected to wait before long jobs are preempted for it. */
const PREEMPTION_THRESHOLD = 0.5;

/** Returns the time of the next review of a queued request: halfway to the time by which it must start. */
function reviewAt({ latestStartAtMs }: Waiting, nowMs: Ms): Ms {
  const leftMs = latestStartAtMs - nowMs;
  return leftMs > 2 * MIN_INTERVAL_MS ? nowMs + leftMs / 2 : nowMs + MIN_INTERVAL_MS;
}

/** True if a queued request is expected to miss the time by which it must start. */
function isUnmeetable(state: AdmissionState, waiting: Waiting, nowMs: Ms): boolean {
  const { latestStartAtMs, place } = waiting;
  if (latestStartAtMs < nowMs) return true;
  if (place === 'parked') return false;
  const waitMs = expectWait(state, candidateOf(state, waiting, nowMs, true), nowMs);
  return nowMs + WAIT_FACTOR * waitMs > latestStartAtMs;
}

/** True if running long jobs keep the request from starting soon enough. */
function needsPreemption(state: AdmissionState, waiting: Waiting, nowMs: Ms): boolean {
  if (waiting.place !== 'lane' || state.longRunning === 0) return false;
  const waitMs = expectWait(state, candidateOf(state, waiting, nowMs, false), nowMs);
  return waitMs > PREEMPTION_THRESHOLD * (waiting.latestStartAtMs - nowMs);
}

/** Reviews the queued requests that are due: refuses those that cannot start in time, preempts long jobs for others. */
export function review(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  while (state.reviews.peekKey() <= nowMs) {
    const waiting = state.reviews.pop()!;
    if (waiting.place === 'left') continue;
    if (isUnmeetable(state, waiting, nowMs)) {
      withdraw(state, waiting);
      effects.push(refuseWaiting(state, waiting, 'deadline-unmeetable', nowMs));
      continue;
    }
    state.reviews.push(reviewAt(waiting, nowMs), waiting);
    if (needsPreemption(state, waiting, nowMs)) effects.push(...preempt(state, waiting.lane));
  }
  return effects;
}
