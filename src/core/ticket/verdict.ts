import { Executed } from '../../wire/index.js';
import { refuse } from '../refusal/index.js';
import type { Phase } from './phase.js';
import type { Row } from './row.js';
import type { TableEffect } from './tableeffect.js';

type Judge = (callId: string, row: Row) => TableEffect;

const REFUSALS = {
  'answer-dropped': {
    detail: 'The request was run and answered; its answer is no longer held.',
    executed: Executed.EXECUTED_YES,
  },
  'outcome-unknown': {
    detail: 'The request was sent and broke off; it may or may not have been run.',
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
    detail: 'The attempt that this one waited for was refused before anything was sent.',
    executed: Executed.EXECUTED_NO,
  },
} as const;

function refused(type: keyof typeof REFUSALS): Judge {
  const { detail, executed } = REFUSALS[type];
  return (callId) => ({ type: 'refuse', callId, refusal: refuse(type, detail, { executed }) });
}

const dropped = refused('answer-dropped');

/** What a call under a ticket hears when nothing is left to run or to wait for. */
const JUDGES: Readonly<Record<Exclude<Phase, 'running'>, Judge>> = {
  issued: refused('ticket-not-run'),
  unknown: refused('outcome-unknown'),
  cancelled: refused('ticket-cancelled'),
  expired: refused('ticket-expired'),
  answered: (callId, row) =>
    row.answer ? { type: 'replay', callId, answer: row.answer } : dropped(callId, row),
};

/** The effect that answers a call from what the table holds; undefined while the ticket runs. */
export function verdict(callId: string, row: Row): TableEffect | undefined {
  return row.phase === 'running' ? undefined : JUDGES[row.phase](callId, row);
}
