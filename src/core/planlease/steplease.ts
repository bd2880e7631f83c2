import type { Change, Epoch, Ms, Revision, Step } from '../../base/index.js';
import { follow } from '../chart/index.js';
import chart from './lease.chart.json' with { type: 'json' };
import type { LeaseEffect } from './leaseeffect.js';
import type { LeaseEvent } from './leaseevent.js';
import { leaseLimits } from './leaselimits.js';
import type { LeaseState } from './leasestate.js';

type ChartEvent =
  | 'KEY_ABSENT'
  | 'GRANTED'
  | 'TAKEN'
  | 'CONFLICT'
  | 'UNKNOWN'
  | 'FAILED'
  | 'LAPSED'
  | 'SUPERSEDED'
  | 'RELEASED';
type Changed = Change<LeaseState, LeaseEffect>;
type Event<Type> = Extract<LeaseEvent, { type: Type }>;

const next = follow<LeaseState['phase'], ChartEvent>(chart);

function move(state: LeaseState, event: ChartEvent, effects: readonly LeaseEffect[] = []): Changed {
  return { state: { ...state, phase: next(state.phase, event) }, effects };
}

function stay(state: LeaseState): Changed {
  return { state, effects: [] };
}

function lose(state: LeaseState, reason: 'lapsed' | 'superseded'): Changed {
  const { epoch, leaseId } = state;
  const event = reason === 'lapsed' ? 'LAPSED' : 'SUPERSEDED';
  const revoke: LeaseEffect[] = reason === 'superseded' ? [{ type: 'revoke', leaseId }] : [];
  return move(state, event, [{ type: 'lost', epoch, reason }, ...revoke]);
}

/** The key is ours as of a revision; sidecars may have met a later holder all the same. */
function take(state: LeaseState, revision: Revision, nowMs: Ms): Changed {
  const epoch = Number(revision) as Epoch;
  const dueAtMs = nowMs + leaseLimits.renewEveryMs;
  return move({ ...state, epoch, dueAtMs }, 'TAKEN', [{ type: 'took', epoch }]);
}

function onTick(state: LeaseState, { candidate }: Event<'tick'>, nowMs: Ms): Changed {
  if (nowMs < state.dueAtMs) return stay(state);
  const later = (afterMs: Ms) => ({ ...state, dueAtMs: nowMs + afterMs });
  const { leaseId, key } = state;
  if (state.phase === 'holding') {
    return {
      state: later(leaseLimits.renewEveryMs),
      effects: [{ type: 'renew', leaseId }],
    };
  }
  if (state.phase !== 'watching' && state.phase !== 'reading-back') return stay(state);
  if (state.phase === 'watching' && !candidate) return stay(state);
  return { state: later(leaseLimits.watchEveryMs), effects: [{ type: 'read', key }] };
}

function onRead(state: LeaseState, { answer }: Event<'read'>, nowMs: Ms): Changed {
  if (!answer) return stay(state);
  if (state.phase === 'reading-back') {
    const isOurs = answer.nonce === state.nonce && answer.revision !== undefined;
    return isOurs ? take(state, answer.revision, nowMs) : move(state, 'CONFLICT');
  }
  if (answer.revision !== undefined || state.phase !== 'watching') return stay(state);
  return move(state, 'KEY_ABSENT', [{ type: 'grant', ttlMs: leaseLimits.ttlMs }]);
}

function onGranted(state: LeaseState, { leaseId }: Event<'granted'>): Changed {
  if (state.phase !== 'granting') return stay(state);
  if (leaseId === undefined) return move(state, 'FAILED');
  const { key, nonce } = state;
  return move({ ...state, leaseId }, 'GRANTED', [{ type: 'swap', key, nonce, leaseId }]);
}

const SWAPPED: Readonly<
  Record<
    Event<'swapped'>['outcome'],
    (state: LeaseState, event: Event<'swapped'>, nowMs: Ms) => Changed
  >
> = {
  swapped: (state, { revision }, nowMs) =>
    revision === undefined ? move(state, 'FAILED') : take(state, revision, nowMs),
  conflict: (state) => move(state, 'CONFLICT'),
  unknown: (state, _event, nowMs) => move({ ...state, dueAtMs: nowMs }, 'UNKNOWN'),
  failed: (state) => move(state, 'FAILED'),
};

const HANDLERS: {
  readonly [Type in LeaseEvent['type']]: (
    state: LeaseState,
    event: Event<Type>,
    nowMs: Ms,
  ) => Changed;
} = {
  tick: onTick,
  read: onRead,
  granted: onGranted,
  swapped: (state, event, nowMs) =>
    state.phase === 'swapping' ? SWAPPED[event.outcome](state, event, nowMs) : stay(state),
  // Cut off from the store, a holder goes on: two planners at once cost moves only.
  renewed: (state, { leftMs }) =>
    state.phase === 'holding' && leftMs === 0 ? lose(state, 'lapsed') : stay(state),
  'met-epoch': (state, { epoch }) => {
    const metEpoch = Math.max(state.metEpoch, epoch) as Epoch;
    const met = { ...state, metEpoch };
    return state.phase === 'holding' && metEpoch > state.epoch
      ? lose(met, 'superseded')
      : stay(met);
  },
  stopped: (state) => {
    if (state.phase !== 'holding') return stay(state);
    const { leaseId, epoch } = state;
    const lost = { type: 'lost' as const, epoch, reason: 'lapsed' as const };
    return move(state, 'RELEASED', [{ type: 'revoke', leaseId }, lost]);
  },
};

/** Holds, or tries for, the right to plan a service's region. Its epoch fences plans at sidecars. */
export const stepLease: Step<LeaseState, LeaseEvent, LeaseEffect> = (state, event, nowMs) => {
  const handle = HANDLERS[event.type] as (
    state: LeaseState,
    event: LeaseEvent,
    nowMs: Ms,
  ) => Changed;
  return handle(state, event, nowMs);
};
