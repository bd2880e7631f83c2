import type { Incarnation, Ms, UpstreamId } from '../../base/index.js';
import type { TicketLimits } from './ticketlimits.js';
import type { TableState } from './tablestate.js';

const MS_PER_S = 1000;

/** Returns an empty table for one incarnation of a sidecar. */
export function openTable(
  upstream: UpstreamId,
  incarnation: Incarnation,
  limits: TicketLimits,
  nowMs: Ms,
): TableState {
  return {
    upstream,
    incarnation,
    limits,
    rows: new Map(),
    bodies: new Set(),
    expiries: new Map(),
    sweptUntilS: Math.floor(nowMs / MS_PER_S),
    usedBytes: 0,
    leaving: false,
    origins: new Map(),
  };
}
