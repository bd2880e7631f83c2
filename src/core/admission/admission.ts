/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Change, Ms, Step } from '../../base/index.js';
import type { Kind } from '../document/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionEvent } from './admissionevent.js';
import type { AdmissionState } from './admissionstate.js';
import { dispatch } from './dispatch.js';
import { leave } from './leave.js';
import { offered } from './offered.js';
import { PaceLimit } from './pacelimit.js';
import { refuseWaiting } from './refusewaiting.js';
import { review } from './review.js';

type Of<Type extends AdmissionEvent['type']> = Extract<AdmissionEvent, { readonly type: Type }>;

type Handlers = {
  readonly [Type in AdmissionEvent['type']]: (
    state: AdmissionState,
    event: Of<Type>,
    nowMs: Ms,
  ) => AdmissionEffect[];
};

function configure(state: AdmissionState, { policy }: Of<'configured'>): AdmissionEffect[] {
  const { slots, paceGoalMs } = state.policy;
  if (slots !== policy.slots || paceGoalMs !== policy.paceGoalMs) {
    state.pace = new PaceLimit(policy.slots, policy.paceGoalMs);
  }
  state.policy = policy;
  state.kinds = new Map<string, Kind>(policy.kinds.map((kind) => [kind.name, kind]));
  state.accounts.configure(policy);
  return [];
}

function answering(state: AdmissionState, { requestId }: Of<'answering'>, nowMs: Ms): void {
  const running = state.running.get(requestId);
  if (!running || running.answering) return;
  running.answering = true;
  const { offer } = running.waiting;
  if (!offer.resumed) state.estimates.learnFirst(offer, nowMs - running.startedAtMs);
}

function paced(state: AdmissionState, { gapMs, tokenCount }: Of<'paced'>, nowMs: Ms): void {
  const running = state.runningMs / Math.max(1, nowMs - state.pacedAtMs);
  state.runningMs = 0;
  state.pacedAtMs = nowMs;
  if (tokenCount === 0) return;
  state.estimates.learnPace(gapMs);
  state.pace.learn(gapMs, running, tokenCount);
}

/** Keeps count of how many run over time. */
function count(state: AdmissionState, nowMs: Ms): void {
  state.runningMs += state.running.size * (nowMs - state.countedAtMs);
  state.countedAtMs = nowMs;
}

function release(state: AdmissionState, event: Of<'released'>, nowMs: Ms): AdmissionEffect[] {
  const running = state.running.get(event.requestId);
  if (!running) return [];
  const { waiting, startedAtMs, longJob, preempting } = running;
  const { offer, holdMs } = waiting;
  const heldMs = nowMs - startedAtMs;
  state.running.delete(event.requestId);
  state.releaseRate -= 1 / holdMs;
  if (state.running.size === 0) state.releaseRate = 0;
  if (longJob) state.longRunning -= 1;
  if (preempting) state.preempting -= 1;
  waiting.counted?.add(heldMs - holdMs, nowMs);
  if (event.outcome !== 'answered' || offer.resumed) return [];
  if (state.policy.type === 'plain') state.estimates.learnFirst(offer, heldMs);
  else state.estimates.learnTokens(offer, event.tokenCount);
  return [];
}

function abandon(state: AdmissionState, { requestId }: Of<'abandoned'>): AdmissionEffect[] {
  const waiting = state.waiting.get(requestId);
  if (waiting) leave(state, waiting);
  return [];
}

/** The model has gone: nobody who waits for it can be served here. */
function refuseModel(state: AdmissionState, model: string, nowMs: Ms): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  for (const waiting of [...state.waiting.values()]) {
    if (waiting.offer.model !== model) continue;
    leave(state, waiting);
    effects.push(refuseWaiting(state, waiting, 'model-absent', nowMs));
  }
  return effects;
}

/** The model is ready: who waited for it waits for a place now. */
function unpark(state: AdmissionState, model: string): void {
  for (const waiting of state.parked.get(model) ?? []) {
    waiting.place = 'lane';
    state.lanes[waiting.lane]!.push(waiting);
  }
  state.parked.delete(model);
}

function changeModel(state: AdmissionState, event: Of<'model'>, nowMs: Ms): AdmissionEffect[] {
  const { model, phase, readyInMs } = event;
  state.models.set(model, { phase, readyAtMs: nowMs + readyInMs });
  if (phase === 'absent') return refuseModel(state, model, nowMs);
  if (phase === 'ready') unpark(state, model);
  return [];
}

const HANDLERS: Handlers = {
  configured: configure,
  offered: (state, { offer }, nowMs) => offered(state, offer, nowMs),
  answering: (state, event, nowMs) => {
    answering(state, event, nowMs);
    return [];
  },
  paced: (state, event, nowMs) => {
    paced(state, event, nowMs);
    return [];
  },
  released: release,
  abandoned: abandon,
  model: changeModel,
  ticked: () => [],
};

/** Asks to be woken for the next review, if that is sooner than the wake that is already set. */
function wake(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const atMs = state.reviews.peekKey();
  if (state.wakeAtMs <= nowMs) state.wakeAtMs = Infinity;
  if (atMs >= state.wakeAtMs) return [];
  state.wakeAtMs = atMs;
  return [{ type: 'wake', atMs }];
}

/** Admission and queue of one upstream. The state is changed in place: see `AdmissionState`. */
export const admission: Step<AdmissionState, AdmissionEvent, AdmissionEffect> = (
  state,
  event,
  nowMs,
): Change<AdmissionState, AdmissionEffect> => {
  const handle = HANDLERS[event.type] as (
    state: AdmissionState,
    event: AdmissionEvent,
    nowMs: Ms,
  ) => AdmissionEffect[];
  count(state, nowMs);
  const effects = handle(state, event, nowMs);
  effects.push(...dispatch(state, nowMs));
  effects.push(...review(state, nowMs));
  effects.push(...wake(state, nowMs));
  return { state, effects };
};
