import type { Transition as Stepped, Revision, Step } from '../../base/index.js';
import type { KeyValue } from '../../port/index.js';
import { chartTransition } from '../chart/index.js';
import type { AcceptanceEffect } from './acceptanceeffect.js';
import type { AcceptanceEvent } from './acceptanceevent.js';
import type { AcceptanceFailure } from './acceptancefailure.js';
import type { AcceptanceState } from './acceptancestate.js';
import chart from './acceptance.chart.json' with { type: 'json' };
import { locateChange } from './locatechange.js';
import { propose } from './propose.js';
import { rejections } from './rejections.js';
import { serviceKey } from './servicekey.js';

type Next = Stepped<AcceptanceState, AcceptanceEffect>;

type Handler<Type extends AcceptanceEvent['type']> = (
  state: AcceptanceState,
  event: Extract<AcceptanceEvent, { type: Type }>,
) => Next;

const MAX_WAITS = 6;
const INITIAL_WAIT_MS = 100;

const nextPhase = chartTransition<AcceptanceState['phase'], string>(chart);

function advance(state: AcceptanceState, trigger: string): AcceptanceState {
  return { ...state, phase: nextPhase(state.phase, trigger) };
}

function reject(state: AcceptanceState, trigger: string, failure: AcceptanceFailure): Next {
  return { state: advance(state, trigger), effects: [{ type: 'rejected', failure }] };
}

function accept(
  state: AcceptanceState,
  trigger: string,
  revision: Revision,
  documentHash: string,
): Next {
  const { changeId } = state.change;
  const accepted = { changeId, revision, documentHash };
  return { state: advance(state, trigger), effects: [{ type: 'accepted', accepted }] };
}

function readNow(state: AcceptanceState): Next {
  return { state, effects: [{ type: 'read', key: serviceKey.of(state.change) }] };
}

/**
 * Sends the proposed swap, first or repeated. Each attempt has the same value and expected revision, so
 * the first one that arrives makes the others fail.
 */
function sendSwap(state: AcceptanceState, trigger: string): Next {
  const { swap } = state;
  return { state: advance(state, trigger), effects: swap ? [{ type: 'swap', swap }] : [] };
}

function waitToRetry(state: AcceptanceState, trigger: string): Next {
  const delayMs = INITIAL_WAIT_MS * 2 ** state.waits;
  const waiting = { ...advance(state, trigger), waits: state.waits + 1 };
  return { state: waiting, effects: [{ type: 'wait', delayMs }] };
}

function proposeFirst(state: AcceptanceState, item: KeyValue | undefined): Next {
  const proposal = propose(state, item);
  if (proposal.err) return reject(state, 'FAILED', proposal.val);
  const { state: proposed, dropped } = proposal.val;
  const swapping = sendSwap(proposed, 'PROPOSED');
  if (dropped.length === 0) return swapping;
  return { ...swapping, effects: [{ type: 'log', entries: dropped }, ...swapping.effects] };
}

function onUnchanged(state: AcceptanceState, item: KeyValue | undefined): Next {
  if (state.phase === 'reading') return proposeFirst(state, item);
  if (state.phase === 'readingBack') return sendSwap(state, 'UNCHANGED');
  return waitToRetry(state, 'LOST');
}

/** True if our swap may still arrive, or may have succeeded and been overwritten since. */
function mayBePending({ phase }: AcceptanceState): boolean {
  return phase === 'readingBack' || phase === 'swappingAgain';
}

function isReused({ change, hash }: AcceptanceState, documentHash: string): boolean {
  return change.source.type === 'text' && hash(change.source.text) !== documentHash;
}

function onValueRead(state: AcceptanceState, item: KeyValue | undefined): Next {
  const status = locateChange(state, item);
  if (status.type === 'FOUND') {
    const { entry, revision } = status;
    if (isReused(state, entry.documentHash)) {
      return reject(state, 'FAILED', rejections.changeIdReused(state));
    }
    return accept(state, 'FOUND', revision, entry.documentHash);
  }
  if (status.type === 'UNCHANGED') return onUnchanged(state, item);
  if (status.type === 'UNCERTAIN' && mayBePending(state)) {
    return reject(state, 'UNCERTAIN', rejections.unknown(state));
  }
  return reject(state, 'MOVED', rejections.conflict(state, item));
}

const onFailed: Handler<'failed'> = (state, { failure }) => {
  if (state.phase === 'reading') return reject(state, 'FAILED', rejections.notMade(failure));
  if (state.phase !== 'swapping') return waitToRetry(state, 'FAILED');
  if (failure.type !== 'store-outcome-unknown') {
    return reject(state, 'FAILED', rejections.notMade(failure));
  }
  return readNow(advance(state, 'LOST'));
};

const onWaited: Handler<'waited'> = (state) => {
  if (state.waits > MAX_WAITS) return reject(state, 'GIVEN_UP', rejections.unknown(state));
  return readNow(advance(state, 'WAITED'));
};

const HANDLERS: { readonly [Type in AcceptanceEvent['type']]: Handler<Type> } = {
  start: readNow,
  read: (state, { item }) => onValueRead(state, item),
  swapped: (state, { revision }) =>
    accept(state, 'SWAPPED', revision, state.entry?.documentHash ?? ''),
  conflict: (state, { current }) => onValueRead(state, current),
  failed: onFailed,
  waited: onWaited,
};

/** Writes one change to the store exactly once, or reports why it was not accepted. */
export const stepAcceptance: Step<AcceptanceState, AcceptanceEvent, AcceptanceEffect> = (
  state,
  event,
) => {
  const handle = HANDLERS[event.type] as Handler<AcceptanceEvent['type']>;
  return handle(state, event);
};
