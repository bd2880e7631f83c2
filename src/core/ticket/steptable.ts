import type { Transition, Ms } from '../../base/index.js';
import { adopt } from './adopt.js';
import { begin } from './begin.js';
import { finish } from './finish.js';
import { issue } from './issue.js';
import { leave } from './leave.js';
import { start } from './start.js';
import { sweep } from './sweep.js';
import type { TableEffect } from './tableeffect.js';
import type { TableEvent } from './tableevent.js';
import type { TableState } from './tablestate.js';

type EventHandlers = {
  readonly [Type in TableEvent['type']]: (
    state: TableState,
    event: Extract<TableEvent, { type: Type }>,
    nowMs: Ms,
  ) => Transition<TableState, TableEffect>;
};

const HANDLERS: EventHandlers = {
  issue,
  begin,
  start,
  finish,
  leave,
  adopt,
  sweep: (state, _event, nowMs) => sweep(state, nowMs),
};

/** Handles one event of the ticket table. The given state must not be used afterwards; see `TableState`. */
export function stepTable(
  state: TableState,
  event: TableEvent,
  nowMs: Ms,
): Transition<TableState, TableEffect> {
  return HANDLERS[event.type](state, event as never, nowMs);
}
