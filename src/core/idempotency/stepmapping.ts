import type { Change, Ms } from '../../base/index.js';
import { Executed } from '../../wire/index.js';
import { follow } from '../chart/index.js';
import { refuse } from '../refusal/index.js';
import chart from './mapping.chart.json' with { type: 'json' };
import type { MappingEffect } from './mappingeffect.js';
import type { MappingEvent } from './mappingevent.js';
import type { MappingPhase } from './mappingphase.js';
import type { MappingState } from './mappingstate.js';
import { mappingValue } from './mappingvalue.js';

type Changed = Change<MappingState, MappingEffect>;
type Handler<Type extends MappingEvent['type']> = (
  state: MappingState,
  event: Extract<MappingEvent, { type: Type }>,
) => Changed;

const nextPhase = follow<MappingPhase, string>(chart);

const UNREADABLE = refuse(
  'idempotency-unknown',
  'This request was not passed on; whether an earlier one with its key ran cannot be read now.',
  { executed: Executed.EXECUTED_UNKNOWN },
);

const OTHER = refuse('idempotency-mismatch', 'The key was used for a different request.');

/** Takes a step of the chart; a step that it does not have changes nothing. */
function take(
  state: MappingState,
  step: string,
  effect: MappingEffect,
  news: Partial<MappingState> = {},
): Changed {
  const phase = nextPhase(state.phase, step);
  if (phase === state.phase) return { state, effects: [] };
  return { state: { ...state, ...news, phase }, effects: [effect] };
}

function create(state: MappingState, step: string, ticket: string): Changed {
  const value = mappingValue.write({ ticket, requestHash: state.requestHash });
  const createsLeft = state.createsLeft - 1;
  return take(state, step, { type: 'create', value }, { ticket, createsLeft });
}

/** Another request, or an earlier one of this entry, has mapped the key: its ticket is the one. */
function useFound(state: MappingState, value: string): Changed {
  const found = mappingValue.read(value);
  if (!found) return take(state, 'OTHER', { type: 'refuse', refusal: UNREADABLE });
  if (found.requestHash !== state.requestHash) {
    return take(state, 'OTHER', { type: 'refuse', refusal: OTHER });
  }
  return take(state, 'FOUND', { type: 'bind', ticket: found.ticket });
}

/** The key is not mapped, so nothing has been run under it so far. */
function absent(state: MappingState): Changed {
  if (state.phase === 'creating') return take(state, 'FAILED', { type: 'read' });
  if (state.ticket && state.createsLeft > 0) return create(state, 'RETRY', state.ticket);
  return take(state, 'ABSENT', { type: 'refuse', refusal: state.reason });
}

const HANDLERS: { readonly [Type in MappingEvent['type']]: Handler<Type> } = {
  unaffordable: (state, { retryAfterMs }) => {
    const detail = 'This entry has used up its writes to the store.';
    const reason = refuse('idempotency-budget-spent', detail, { retryAfterMs });
    return take(state, 'UNAFFORDABLE', { type: 'read' }, { reason });
  },
  // An earlier request with this key may have run: only the store can tell.
  unissued: (state, { refusal }) => take(state, 'FAILED', { type: 'read' }, { reason: refusal }),
  issued: (state, { ticket }) => create(state, 'ISSUED', ticket),
  created: (state) => take(state, 'SWAPPED', { type: 'bind', ticket: state.ticket }),
  found: (state, { value }) => (value === undefined ? absent(state) : useFound(state, value)),
  failed: (state) =>
    state.phase === 'creating'
      ? take(state, 'FAILED', { type: 'read' })
      : take(state, 'FAILED', { type: 'refuse', refusal: UNREADABLE }),
};

/** Decides what follows an event of a key's mapping. */
export function stepMapping(state: MappingState, event: MappingEvent, nowMs: Ms): Changed {
  if (nowMs >= state.boundUntilMs) {
    return take(state, 'LATE', { type: 'refuse', refusal: UNREADABLE });
  }
  const handle = HANDLERS[event.type] as Handler<MappingEvent['type']>;
  return handle(state, event);
}
