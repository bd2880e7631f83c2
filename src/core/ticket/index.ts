/** The run-at-most-once table of a sidecar: who may run what, and what became of it. */
export type { Answer } from './answer.js';
export { exportTable } from './exporttable.js';
export type { Limits } from './limits.js';
export { openTable } from './opentable.js';
export { stepTable } from './steptable.js';
export type { TableEffect } from './tableeffect.js';
export type { TableEvent } from './tableevent.js';
export type { TableState } from './tablestate.js';
export { ticketName } from './ticketname.js';
