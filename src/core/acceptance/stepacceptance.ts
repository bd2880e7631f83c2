import type { Change as Stepped, Revision, Step } from '../../base/index.js';
import type { KeyValue } from '../../port/index.js';
import { follow } from '../chart/index.js';
import type { AcceptanceEffect } from './acceptanceeffect.js';
import type { AcceptanceEvent } from './acceptanceevent.js';
import type { AcceptanceFailure } from './acceptancefailure.js';
import type { AcceptanceState } from './acceptancestate.js';
import chart from './acceptance.chart.json' with { type: 'json' };
import { judge } from './judge.js';
import { propose } from './propose.js';
import { rejections } from './rejections.js';
import { serviceKey } from './servicekey.js';

type Next = Stepped<AcceptanceState, AcceptanceEffect>;

type Handler<Type extends AcceptanceEvent['type']> = (
  state: AcceptanceState,
  event: Extract<AcceptanceEvent, { type: Type }>,
) => Next;

const WAIT_LIMIT = 6;
const FIRST_WAIT_MS = 100;

const nextPhase = follow<AcceptanceState['phase'], string>(chart);

function move(state: AcceptanceState, trigger: string): AcceptanceState {
  return { ...state, phase: nextPhase(state.phase, trigger) };
}

function reject(state: AcceptanceState, trigger: string, failure: AcceptanceFailure): Next {
  return { state: move(state, trigger), effects: [{ type: 'rejected', failure }] };
}

function accept(
  state: AcceptanceState,
  trigger: string,
  revision: Revision,
  documentHash: string,
): Next {
  const { changeId } = state.change;
  const accepted = { changeId, revision, documentHash };
  return { state: move(state, trigger), effects: [{ type: 'accepted', accepted }] };
}

function readNow(state: AcceptanceState): Next {
  return { state, effects: [{ type: 'read', key: serviceKey.of(state.change) }] };
}

/**
 * Sends the proposed swap, for the first time or again: it is always the same, under the same revision,
 * so whichever arrives first makes the others fail.
 */
function sendSwap(state: AcceptanceState, trigger: string): Next {
  const { swap } = state;
  return { state: move(state, trigger), effects: swap ? [{ type: 'swap', swap }] : [] };
}

function pause(state: AcceptanceState, trigger: string): Next {
  const delayMs = FIRST_WAIT_MS * 2 ** state.waits;
  const waiting = { ...move(state, trigger), waits: state.waits + 1 };
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

function whenUnchanged(state: AcceptanceState, item: KeyValue | undefined): Next {
  if (state.phase === 'reading') return proposeFirst(state, item);
  if (state.phase === 'readingBack') return sendSwap(state, 'UNCHANGED');
  return pause(state, 'LOST');
}

/** Whether a swap of ours may still be on its way, or may have been overwritten since. */
function isOnItsWay({ phase }: AcceptanceState): boolean {
  return phase === 'readingBack' || phase === 'swappingAgain';
}

function isReused({ change, hash }: AcceptanceState, documentHash: string): boolean {
  return change.source.type === 'text' && hash(change.source.text) !== documentHash;
}

function judged(state: AcceptanceState, item: KeyValue | undefined): Next {
  const judgement = judge(state, item);
  if (judgement.type === 'FOUND') {
    const { entry, revision } = judgement;
    if (isReused(state, entry.documentHash)) {
      return reject(state, 'FAILED', rejections.changeIdReused(state));
    }
    return accept(state, 'FOUND', revision, entry.documentHash);
  }
  if (judgement.type === 'UNCHANGED') return whenUnchanged(state, item);
  if (judgement.type === 'UNCERTAIN' && isOnItsWay(state)) {
    return reject(state, 'UNCERTAIN', rejections.unknown(state));
  }
  return reject(state, 'MOVED', rejections.conflict(state, item));
}

const failed: Handler<'failed'> = (state, { failure }) => {
  if (state.phase === 'reading') return reject(state, 'FAILED', rejections.notMade(failure));
  if (state.phase !== 'swapping') return pause(state, 'FAILED');
  if (failure.type !== 'store-outcome-unknown') {
    return reject(state, 'FAILED', rejections.notMade(failure));
  }
  return readNow(move(state, 'LOST'));
};

const waited: Handler<'waited'> = (state) => {
  if (state.waits > WAIT_LIMIT) return reject(state, 'GIVEN_UP', rejections.unknown(state));
  return readNow(move(state, 'WAITED'));
};

const HANDLERS: { readonly [Type in AcceptanceEvent['type']]: Handler<Type> } = {
  start: readNow,
  read: (state, { item }) => judged(state, item),
  swapped: (state, { revision }) =>
    accept(state, 'SWAPPED', revision, state.entry?.documentHash ?? ''),
  conflict: (state, { current }) => judged(state, current),
  failed,
  waited,
};

/** Brings one change into the store: accepted once, or a reason that is true. */
export const stepAcceptance: Step<AcceptanceState, AcceptanceEvent, AcceptanceEffect> = (
  state,
  event,
) => {
  const handle = HANDLERS[event.type] as Handler<AcceptanceEvent['type']>;
  return handle(state, event);
};
