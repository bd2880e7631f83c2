/** Ticket table of a sidecar: runs each ticket's request at most once and replays the recorded outcome. */
export type { RecordedAnswer } from './recordedanswer.js';
export { exportTable } from './exporttable.js';
export type { TicketLimits } from './ticketlimits.js';
export { openTable } from './opentable.js';
export { stepTable } from './steptable.js';
export type { TableEffect } from './tableeffect.js';
export type { TableEvent } from './tableevent.js';
export type { TableState } from './tablestate.js';
export { ticketName } from './ticketname.js';
