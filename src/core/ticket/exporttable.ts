import type { Ms } from '../../base/index.js';
import type { TicketEntry, TicketTable } from '../../wire/index.js';
import type { Row } from './row.js';
import { rowBytes } from './rowbytes.js';
import type { TableState } from './tablestate.js';
import { ticketName } from './ticketname.js';

/** Tickets of one incarnation that go out together. */
interface Piece {
  readonly upstream: string;
  readonly incarnation: number;
  readonly hops: number;
  entries: TicketEntry[];
  sizeBytes: number;
}

function entryOf(ticket: string, row: Row, nowMs: Ms): TicketEntry {
  const { customer, service, requestHash, answer } = row;
  // A run that did not end before the stop may end either way.
  const phase = row.phase === 'running' ? 'unknown' : row.phase;
  return {
    ticket,
    customer,
    service,
    phase,
    requestHash,
    remainingMs: Math.max(0, Math.floor(row.expiresAtMs - nowMs)),
    status: answer?.status ?? 0,
    headers: [...(answer?.headers ?? [])],
    body: answer?.body ?? Buffer.alloc(0),
    pieceBytes: [...(answer?.pieceBytes ?? [])],
    bodyDropped: phase === 'answered' && !answer,
  };
}

function tableOf({ upstream, incarnation, hops, entries }: Piece, last: boolean): TicketTable {
  return { upstream, incarnation, hops, entries, last };
}

/**
 * The table in pieces of about `pieceBytes`, each with tickets of one incarnation, for a peer to take
 * over. Only for a table that has been told to leave: an issued ticket must not be run any more.
 */
export function* exportTable(
  state: TableState,
  pieceBytes: number,
  nowMs: Ms,
): Generator<TicketTable> {
  const open = new Map<string, Piece>();
  for (const [ticket, row] of state.rows) {
    const name = ticketName.read(ticket);
    if (!name || nowMs >= row.expiresAtMs) continue;
    const { upstream, incarnation } = name;
    const key = `${upstream}.${incarnation}`;
    const hops = (state.origins.get(key) ?? 0) + 1;
    const piece = open.get(key) ?? { upstream, incarnation, hops, entries: [], sizeBytes: 0 };
    if (piece.sizeBytes >= pieceBytes) {
      yield tableOf(piece, false);
      piece.entries = [];
      piece.sizeBytes = 0;
    }
    piece.entries.push(entryOf(ticket, row, nowMs));
    piece.sizeBytes += rowBytes(row);
    open.set(key, piece);
  }
  for (const piece of open.values()) yield tableOf(piece, true);
}
