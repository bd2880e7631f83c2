import type { Transition, Epoch, Ms, Revision, Step } from '../../base/index.js';
import { chartTransition } from '../chart/index.js';
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
type Changed = Transition<LeaseState, LeaseEffect>;
type Event<Type> = Extract<LeaseEvent, { type: Type }>;

const next = chartTransition<LeaseState['phase'], ChartEvent>(chart);

function transition(
  state: LeaseState,
  event: ChartEvent,
  effects: readonly LeaseEffect[] = [],
): Changed {
  return { state: { ...state, phase: next(state.phase, event) }, effects };
}

function unchanged(state: LeaseState): Changed {
  return { state, effects: [] };
}

function loseLease(state: LeaseState, reason: 'lapsed' | 'superseded'): Changed {
  const { epoch, leaseId } = state;
  const event = reason === 'lapsed' ? 'LAPSED' : 'SUPERSEDED';
  const revoke: LeaseEffect[] = reason === 'superseded' ? [{ type: 'revoke', leaseId }] : [];
  return transition(state, event, [{ type: 'lost', epoch, reason }, ...revoke]);
}

/** Records that the key was taken at a revision. Sidecars may have seen a later holder nevertheless. */
function take(state: LeaseState, revision: Revision, nowMs: Ms): Changed {
  const epoch = Number(revision) as Epoch;
  const dueAtMs = nowMs + leaseLimits.renewEveryMs;
  return transition({ ...state, epoch, dueAtMs }, 'TAKEN', [{ type: 'took', epoch }]);
}

function onTick(state: LeaseState, { candidate }: Event<'tick'>, nowMs: Ms): Changed {
  if (nowMs < state.dueAtMs) return unchanged(state);
  const later = (afterMs: Ms) => ({ ...state, dueAtMs: nowMs + afterMs });
  const { leaseId, key } = state;
  if (state.phase === 'holding') {
    return {
      state: later(leaseLimits.renewEveryMs),
      effects: [{ type: 'renew', leaseId }],
    };
  }
  if (state.phase !== 'watching' && state.phase !== 'reading-back') return unchanged(state);
  if (state.phase === 'watching' && !candidate) return unchanged(state);
  return { state: later(leaseLimits.watchEveryMs), effects: [{ type: 'read', key }] };
}

function onRead(state: LeaseState, { answer }: Event<'read'>, nowMs: Ms): Changed {
  if (!answer) return unchanged(state);
  if (state.phase === 'reading-back') {
    const isOwn = answer.nonce === state.nonce && answer.revision !== undefined;
    return isOwn ? take(state, answer.revision, nowMs) : transition(state, 'CONFLICT');
  }
  if (answer.revision !== undefined || state.phase !== 'watching') return unchanged(state);
  return transition(state, 'KEY_ABSENT', [{ type: 'grant', ttlMs: leaseLimits.ttlMs }]);
}

function onGranted(state: LeaseState, { leaseId }: Event<'granted'>): Changed {
  if (state.phase !== 'granting') return unchanged(state);
  if (leaseId === undefined) return transition(state, 'FAILED');
  const { key, nonce } = state;
  return transition({ ...state, leaseId }, 'GRANTED', [{ type: 'swap', key, nonce, leaseId }]);
}

const SWAPPED: Readonly<
  Record<
    Event<'swapped'>['outcome'],
    (state: LeaseState, event: Event<'swapped'>, nowMs: Ms) => Changed
  >
> = {
  swapped: (state, { revision }, nowMs) =>
    revision === undefined ? transition(state, 'FAILED') : take(state, revision, nowMs),
  conflict: (state) => transition(state, 'CONFLICT'),
  unknown: (state, _event, nowMs) => transition({ ...state, dueAtMs: nowMs }, 'UNKNOWN'),
  failed: (state) => transition(state, 'FAILED'),
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
    state.phase === 'swapping' ? SWAPPED[event.outcome](state, event, nowMs) : unchanged(state),
  // A holder without access to the store continues: two concurrent planners cost only extra moves.
  renewed: (state, { leftMs }) =>
    state.phase === 'holding' && leftMs === 0 ? loseLease(state, 'lapsed') : unchanged(state),
  'met-epoch': (state, { epoch }) => {
    const metEpoch = Math.max(state.metEpoch, epoch) as Epoch;
    const updated = { ...state, metEpoch };
    return state.phase === 'holding' && metEpoch > state.epoch
      ? loseLease(updated, 'superseded')
      : unchanged(updated);
  },
  stopped: (state) => {
    if (state.phase !== 'holding') return unchanged(state);
    const { leaseId, epoch } = state;
    const lost = { type: 'lost' as const, epoch, reason: 'lapsed' as const };
    return transition(state, 'RELEASED', [{ type: 'revoke', leaseId }, lost]);
  },
};

/** Acquires and holds the lease for planning a service's region. Sidecars use its epoch to fence plans. */
export const stepLease: Step<LeaseState, LeaseEvent, LeaseEffect> = (state, event, nowMs) => {
  const handle = HANDLERS[event.type] as (
    state: LeaseState,
    event: LeaseEvent,
    nowMs: Ms,
  ) => Changed;
  return handle(state, event, nowMs);
};
