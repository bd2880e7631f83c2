/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Transition, Ms, Step } from '../../base/index.js';
import type { Kind } from '../document/index.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionEvent } from './admissionevent.js';
import type { AdmissionState } from './admissionstate.js';
import { dispatch } from './dispatch.js';
import { withdraw } from './withdraw.js';
import { enqueueOrRefuse } from './enqueueorrefuse.js';
import { ConcurrencyLimit } from './concurrencylimit.js';
import { refuseWaiting } from './refusewaiting.js';
import { review } from './review.js';

type EventOf<Type extends AdmissionEvent['type']> = Extract<
  AdmissionEvent,
  { readonly type: Type }
>;

type Handlers = {
  readonly [Type in AdmissionEvent['type']]: (
    state: AdmissionState,
    event: EventOf<Type>,
    nowMs: Ms,
  ) => AdmissionEffect[];
};

function configure(state: AdmissionState, { policy }: EventOf<'configured'>): AdmissionEffect[] {
  const { slots, paceGoalMs } = state.policy;
  if (slots !== policy.slots || paceGoalMs !== policy.paceGoalMs) {
    state.concurrency = new ConcurrencyLimit(policy.slots, policy.paceGoalMs);
  }
  state.policy = policy;
  state.kinds = new Map<string, Kind>(policy.kinds.map((kind) => [kind.name, kind]));
  state.accounts.configure(policy);
  return [];
}

function answering(state: AdmissionState, { requestId }: EventOf<'answering'>, nowMs: Ms): void {
  const running = state.running.get(requestId);
  if (!running || running.answering) return;
  running.answering = true;
  const { offer } = running.waiting;
  if (!offer.resumed) state.estimates.learnLatency(offer, nowMs - running.startedAtMs);
}

function onPaced(state: AdmissionState, { gapMs, tokenCount }: EventOf<'paced'>, nowMs: Ms): void {
  const running = state.runningMs / Math.max(1, nowMs - state.pacedAtMs);
  state.runningMs = 0;
  state.pacedAtMs = nowMs;
  if (tokenCount === 0) return;
  state.estimates.learnPace(gapMs);
  state.concurrency.learn(gapMs, running, tokenCount);
}

/** Adds to the integral of running requests over time, from which the mean concurrency is computed. */
function count(state: AdmissionState, nowMs: Ms): void {
  state.runningMs += state.running.size * (nowMs - state.countedAtMs);
  state.countedAtMs = nowMs;
}

function release(state: AdmissionState, event: EventOf<'released'>, nowMs: Ms): AdmissionEffect[] {
  const running = state.running.get(event.requestId);
  if (!running) return [];
  const { waiting, startedAtMs, longJob, preempting } = running;
  const { offer, holdMs } = waiting;
  const heldMs = nowMs - startedAtMs;
  state.running.delete(event.requestId);
  state.slotsFreedPerMs -= 1 / holdMs;
  if (state.running.size === 0) state.slotsFreedPerMs = 0;
  if (longJob) state.longRunning -= 1;
  if (preempting) state.preempting -= 1;
  waiting.counted?.add(heldMs - holdMs, nowMs);
  if (event.outcome !== 'answered' || offer.resumed) return [];
  if (state.policy.type === 'plain') state.estimates.learnLatency(offer, heldMs);
  else state.estimates.learnTokens(offer, event.tokenCount);
  return [];
}

function abandon(state: AdmissionState, { requestId }: EventOf<'abandoned'>): AdmissionEffect[] {
  const waiting = state.waiting.get(requestId);
  if (waiting) withdraw(state, waiting);
  return [];
}

/** Refuses all queued requests for a model that this upstream no longer holds. */
function refuseModel(state: AdmissionState, model: string, nowMs: Ms): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  for (const waiting of [...state.waiting.values()]) {
    if (waiting.offer.model !== model) continue;
    withdraw(state, waiting);
    effects.push(refuseWaiting(state, waiting, 'model-absent', nowMs));
  }
  return effects;
}

/** Moves the requests that waited for a model, now ready, to their lanes. */
function unpark(state: AdmissionState, model: string): void {
  for (const waiting of state.parked.get(model) ?? []) {
    waiting.place = 'lane';
    state.lanes[waiting.lane]!.push(waiting);
  }
  state.parked.delete(model);
}

function changeModel(state: AdmissionState, event: EventOf<'model'>, nowMs: Ms): AdmissionEffect[] {
  const { model, phase, readyInMs } = event;
  state.models.set(model, { phase, readyAtMs: nowMs + readyInMs });
  if (phase === 'absent') return refuseModel(state, model, nowMs);
  if (phase === 'ready') unpark(state, model);
  return [];
}

const HANDLERS: Handlers = {
  configured: configure,
  offered: (state, { offer }, nowMs) => enqueueOrRefuse(state, offer, nowMs),
  answering: (state, event, nowMs) => {
    answering(state, event, nowMs);
    return [];
  },
  paced: (state, event, nowMs) => {
    onPaced(state, event, nowMs);
    return [];
  },
  released: release,
  abandoned: abandon,
  model: changeModel,
  ticked: () => [],
};

/** Schedules a wake-up for the next review if it is due before the one already scheduled. */
function scheduleWake(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const atMs = state.reviews.peekKey();
  if (state.wakeAtMs <= nowMs) state.wakeAtMs = Infinity;
  if (atMs >= state.wakeAtMs) return [];
  state.wakeAtMs = atMs;
  return [{ type: 'wake', atMs }];
}

/** Runs admission control and the queue of one upstream. Mutates the state in place: see `AdmissionState`. */
export const admission: Step<AdmissionState, AdmissionEvent, AdmissionEffect> = (
  state,
  event,
  nowMs,
): Transition<AdmissionState, AdmissionEffect> => {
  const handle = HANDLERS[event.type] as (
    state: AdmissionState,
    event: AdmissionEvent,
    nowMs: Ms,
  ) => AdmissionEffect[];
  count(state, nowMs);
  const effects = handle(state, event, nowMs);
  effects.push(...dispatch(state, nowMs));
  effects.push(...review(state, nowMs));
  effects.push(...scheduleWake(state, nowMs));
  return { state, effects };
};
