import type { Transition, Step } from '../../base/index.js';
import { Executed } from '../../wire/index.js';
import type { AttemptEffect } from './attempteffect.js';
import type { AttemptEvent } from './attemptevent.js';
import type { AttemptState } from './attemptstate.js';
import { retryOrFail } from './retryorfail.js';
import { mayRetryTried } from './mayretrytried.js';
import { nextPhase } from './nextphase.js';
import { remainingTimeMs } from './remainingtimems.js';

/** Delay before a request is sent again to an upstream that has failed it. */
const RETRY_DELAY_MS = 100;

type Changed = Transition<AttemptState, AttemptEffect>;
type Handler<Type extends AttemptEvent['type']> = (
  state: AttemptState,
  event: Extract<AttemptEvent, { type: Type }>,
  nowMs: number,
) => Changed;

/** Takes a transition of the chart; an event without a transition changes nothing. */
function take(
  state: AttemptState,
  step: string,
  effects: readonly AttemptEffect[],
  news: Partial<AttemptState> = {},
): Changed {
  const phase = nextPhase(state.phase, step);
  if (!phase) return { state, effects: [] };
  return { state: { ...state, ...news, phase }, effects };
}

function chooseAgain(state: AttemptState, step: string, nowMs: number): Changed {
  const { upstream, bound, tried } = state;
  const next = upstream === undefined || bound ? tried : [...tried, upstream];
  const remainingMs = remainingTimeMs(state, nowMs);
  const effect: AttemptEffect = { type: 'choose', tried: next, remainingMs, afterMs: 0 };
  return take(state, step, [effect], { tried: next });
}

/**
 * Allows the upstreams that failed the request again after a delay: by then a sidecar may be reachable again, and an
 * interruption may not recur.
 */
function retryTried(state: AttemptState, nowMs: number): Changed {
  const remainingMs = Math.max(0, remainingTimeMs(state, nowMs) - RETRY_DELAY_MS);
  const effect: AttemptEffect = { type: 'choose', tried: [], remainingMs, afterMs: RETRY_DELAY_MS };
  return take(state, 'again', [effect], { tried: [], again: true });
}

function ended(
  state: AttemptState,
  event: Extract<AttemptEvent, { type: 'refused' | 'broken' }>,
  nowMs: number,
): Changed {
  const refusals = [...state.refusals, event.refusal];
  const step = retryOrFail(state, event, nowMs);
  if (step === 'fail') return take(state, step, [{ type: 'fail', refusals }], { refusals });
  const hasFailed = event.type === 'broken' || event.refusal.executed !== Executed.EXECUTED_NO;
  return chooseAgain({ ...state, refusals, hasFailed }, step, nowMs);
}

const HANDLERS: { readonly [Type in AttemptEvent['type']]: Handler<Type> } = {
  chosen: (state, { upstream }, nowMs) => {
    const attempt = state.attempt + 1;
    const remainingMs = remainingTimeMs(state, nowMs);
    const continued = state.passed;
    const effect: AttemptEffect = { type: 'ask', upstream, attempt, continued, remainingMs };
    return take(state, 'ask', [effect], { attempt, upstream });
  },
  unchosen: (state, { refusal }, nowMs) => {
    if (mayRetryTried(state, nowMs)) return retryTried(state, nowMs);
    // A sidecar's refusal is more useful to the caller than "no upstream is left".
    const refusals = state.refusals.length > 0 ? state.refusals : [refusal];
    return take(state, 'fail', [{ type: 'fail', refusals }], { refusals });
  },
  started: (state) => take(state, 'answer', []),
  passed: (state) => ({ state: { ...state, passed: true }, effects: [] }),
  whole: (state) => take(state, 'finish', [{ type: 'finish' }]),
  refused: ended,
  broken: ended,
  gone: (state) => take(state, 'leave', state.phase === 'choosing' ? [] : [{ type: 'cancel' }]),
  expired: (state, { refusal }) => {
    // A request that was never sent has certainly not run.
    const unsent = state.attempt === 0 ? { executed: Executed.EXECUTED_NO } : {};
    const refusals = [...state.refusals, { ...refusal, ...unsent }];
    return take(state, 'fail', [{ type: 'cancel' }, { type: 'fail', refusals }], { refusals });
  },
};

/** Advances the state of a request by one event. */
export const stepAttempt: Step<AttemptState, AttemptEvent, AttemptEffect> = (
  state,
  event,
  nowMs,
) => {
  const handle = HANDLERS[event.type] as Handler<AttemptEvent['type']>;
  return handle(state, event, nowMs);
};
