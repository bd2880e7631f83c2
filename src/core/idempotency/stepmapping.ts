import type { Transition, Ms } from '../../base/index.js';
import { Executed } from '../../wire/index.js';
import { chartTransition } from '../chart/index.js';
import { refuse } from '../refusal/index.js';
import chart from './mapping.chart.json' with { type: 'json' };
import type { MappingEffect } from './mappingeffect.js';
import type { MappingEvent } from './mappingevent.js';
import type { MappingPhase } from './mappingphase.js';
import type { MappingState } from './mappingstate.js';
import { mappingValue } from './mappingvalue.js';

type MappingChange = Transition<MappingState, MappingEffect>;
type Handler<Type extends MappingEvent['type']> = (
  state: MappingState,
  event: Extract<MappingEvent, { type: Type }>,
) => MappingChange;

const nextPhase = chartTransition<MappingPhase, string>(chart);

const UNREADABLE = refuse(
  'idempotency-unknown',
  'This request was not sent; whether an earlier one with its key ran cannot be determined now.',
  { executed: Executed.EXECUTED_UNKNOWN },
);

const OTHER = refuse(
  'idempotency-mismatch',
  'The idempotency key was used for a different request.',
);

/** Makes a transition of the chart; without such a transition nothing changes. */
function take(
  state: MappingState,
  trigger: string,
  effect: MappingEffect,
  news: Partial<MappingState> = {},
): MappingChange {
  const phase = nextPhase(state.phase, trigger);
  if (phase === state.phase) return { state, effects: [] };
  return { state: { ...state, ...news, phase }, effects: [effect] };
}

function create(state: MappingState, trigger: string, ticket: string): MappingChange {
  const value = mappingValue.write({ ticket, requestHash: state.requestHash });
  const createsLeft = state.createsLeft - 1;
  return take(state, trigger, { type: 'create', value }, { ticket, createsLeft });
}

/** Binds the request to the ticket that an earlier or concurrent request has mapped the key to. */
function bindFound(state: MappingState, value: string): MappingChange {
  const found = mappingValue.read(value);
  if (!found) return take(state, 'OTHER', { type: 'refuse', refusal: UNREADABLE });
  if (found.requestHash !== state.requestHash) {
    return take(state, 'OTHER', { type: 'refuse', refusal: OTHER });
  }
  return take(state, 'FOUND', { type: 'bind', ticket: found.ticket });
}

/** Handles an unmapped key: nothing has run under it so far. */
function absent(state: MappingState): MappingChange {
  if (state.phase === 'creating') return take(state, 'FAILED', { type: 'read' });
  if (state.ticket && state.createsLeft > 0) return create(state, 'RETRY', state.ticket);
  return take(state, 'ABSENT', { type: 'refuse', refusal: state.reason });
}

const HANDLERS: { readonly [Type in MappingEvent['type']]: Handler<Type> } = {
  unaffordable: (state, { retryAfterMs }) => {
    const detail = 'This entry has used up its budget of writes to the store.';
    const reason = refuse('idempotency-budget-spent', detail, { retryAfterMs });
    return take(state, 'UNAFFORDABLE', { type: 'read' }, { reason });
  },
  // An earlier request with this key may have run, which only the store can show.
  unissued: (state, { refusal }) => take(state, 'FAILED', { type: 'read' }, { reason: refusal }),
  issued: (state, { ticket }) => create(state, 'ISSUED', ticket),
  created: (state) => take(state, 'SWAPPED', { type: 'bind', ticket: state.ticket }),
  found: (state, { value }) => (value === undefined ? absent(state) : bindFound(state, value)),
  failed: (state) =>
    state.phase === 'creating'
      ? take(state, 'FAILED', { type: 'read' })
      : take(state, 'FAILED', { type: 'refuse', refusal: UNREADABLE }),
};

/** Handles one event of a key's mapping. */
export function stepMapping(state: MappingState, event: MappingEvent, nowMs: Ms): MappingChange {
  if (nowMs >= state.boundUntilMs) {
    return take(state, 'LATE', { type: 'refuse', refusal: UNREADABLE });
  }
  const handle = HANDLERS[event.type] as Handler<MappingEvent['type']>;
  return handle(state, event);
}
