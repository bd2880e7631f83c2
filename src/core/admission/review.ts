import type { Ms } from '../../base/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { candidateOf } from './candidateof.js';
import { expectWait } from './expectwait.js';
import { leave } from './leave.js';
import { preempt } from './preempt.js';
import { refuseWaiting } from './refusewaiting.js';
import type { Waiting } from './waiting.js';

/**
 * Part of the expected wait that counts against the deadline when a request is given up: the rest is left
 * to luck, for a refusal has to be true.
 */
const OPTIMISM = 0.3;
const SOONEST_MS = 20;
/** Part of the time left that a request may be expected to wait before long jobs make room for it. */
const PATIENCE = 0.5;

/** When a waiting request is looked at again: halfway to the time by which it must start. */
function reviewAt({ latestStartAtMs }: Waiting, nowMs: Ms): Ms {
  const leftMs = latestStartAtMs - nowMs;
  return leftMs > 2 * SOONEST_MS ? nowMs + leftMs / 2 : nowMs + SOONEST_MS;
}

/** Whether a waiting request can no longer start in time, as far as can be told. */
function isHopeless(state: AdmissionState, waiting: Waiting, nowMs: Ms): boolean {
  const { latestStartAtMs, place } = waiting;
  if (latestStartAtMs < nowMs) return true;
  if (place === 'parked') return false;
  const waitMs = expectWait(state, candidateOf(state, waiting, nowMs, true), nowMs);
  return nowMs + OPTIMISM * waitMs > latestStartAtMs;
}

/** Whether the running long jobs keep it from starting soon enough. */
function needsRoom(state: AdmissionState, waiting: Waiting, nowMs: Ms): boolean {
  if (waiting.place !== 'lane' || state.longRunning === 0) return false;
  const waitMs = expectWait(state, candidateOf(state, waiting, nowMs, false), nowMs);
  return waitMs > PATIENCE * (waiting.latestStartAtMs - nowMs);
}

/** Looks at those whose time has come: refuses what became hopeless, makes room where it is needed. */
export function review(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  while (state.reviews.peekKey() <= nowMs) {
    const waiting = state.reviews.pop()!;
    if (waiting.place === 'left') continue;
    if (isHopeless(state, waiting, nowMs)) {
      leave(state, waiting);
      effects.push(refuseWaiting(state, waiting, 'deadline-unmeetable', nowMs));
      continue;
    }
    state.reviews.push(reviewAt(waiting, nowMs), waiting);
    if (needsRoom(state, waiting, nowMs)) effects.push(...preempt(state, waiting.lane));
  }
  return effects;
}
