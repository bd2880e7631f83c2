import { Executed } from '../../wire/index.js';
import { refuse } from '../refusal/index.js';
import type { TicketPhase } from './ticketphase.js';
import type { TicketRow } from './ticketrow.js';
import type { TableEffect } from './tableeffect.js';

type OutcomeReply = (callId: string, row: TicketRow) => TableEffect;

const REFUSALS = {
  'answer-dropped': {
    detail: 'The request was run and answered, but its answer is no longer kept.',
    executed: Executed.EXECUTED_YES,
  },
  'outcome-unknown': {
    detail: 'The request was sent but its answer broke off; it may or may not have been run.',
    executed: Executed.EXECUTED_UNKNOWN,
  },
  'ticket-cancelled': {
    detail: 'The upstream stopped before the ticket was used; it was not run and never will be.',
    executed: Executed.EXECUTED_NO,
  },
  'ticket-expired': {
    detail: 'The ticket expired before it was used; it was not run and never will be.',
    executed: Executed.EXECUTED_NO,
  },
  'ticket-not-run': {
    detail: 'The attempt that this request waited for was refused before anything was sent.',
    executed: Executed.EXECUTED_NO,
  },
} as const;

function refused(type: keyof typeof REFUSALS): OutcomeReply {
  const { detail, executed } = REFUSALS[type];
  return (callId) => ({ type: 'refuse', callId, refusal: refuse(type, detail, { executed }) });
}

const dropped = refused('answer-dropped');

/** Replies, by phase, to a call whose ticket has nothing to run or wait for. */
const OUTCOME_REPLIES: Readonly<Record<Exclude<TicketPhase, 'running'>, OutcomeReply>> = {
  issued: refused('ticket-not-run'),
  unknown: refused('outcome-unknown'),
  cancelled: refused('ticket-cancelled'),
  expired: refused('ticket-expired'),
  answered: (callId, row) =>
    row.answer ? { type: 'replay', callId, answer: row.answer } : dropped(callId, row),
};

/** Returns the effect that answers a call with the recorded outcome; undefined while the ticket runs. */
export function verdict(callId: string, row: TicketRow): TableEffect | undefined {
  return row.phase === 'running' ? undefined : OUTCOME_REPLIES[row.phase](callId, row);
}
