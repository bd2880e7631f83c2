import type { Ms } from '../../base/index.js';
import type { TicketEntry, TicketTable } from '../../wire/index.js';
import type { TicketRow } from './ticketrow.js';
import { rowBytes } from './rowbytes.js';
import type { TableState } from './tablestate.js';
import { ticketName } from './ticketname.js';

/** Tickets of one incarnation that are exported together. */
interface Chunk {
  readonly upstream: string;
  readonly incarnation: number;
  readonly hops: number;
  entries: TicketEntry[];
  sizeBytes: number;
}

function entryOf(ticket: string, row: TicketRow, nowMs: Ms): TicketEntry {
  const { customer, service, requestHash, answer } = row;
  // The outcome of a run that has not ended before the stop is unknown.
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

function tableOf({ upstream, incarnation, hops, entries }: Chunk, last: boolean): TicketTable {
  return { upstream, incarnation, hops, entries, last };
}

/**
 * Exports the table in chunks of about `pieceBytes`, each with tickets of one incarnation, for a peer to take
 * over. Call this only after `leave`: issued tickets must not run here any more.
 */
export function* exportTable(
  state: TableState,
  pieceBytes: number,
  nowMs: Ms,
): Generator<TicketTable> {
  const open = new Map<string, Chunk>();
  for (const [ticket, row] of state.rows) {
    const name = ticketName.read(ticket);
    if (!name || nowMs >= row.expiresAtMs) continue;
    const { upstream, incarnation } = name;
    const key = `${upstream}.${incarnation}`;
    const hops = (state.origins.get(key) ?? 0) + 1;
    const chunk = open.get(key) ?? { upstream, incarnation, hops, entries: [], sizeBytes: 0 };
    if (chunk.sizeBytes >= pieceBytes) {
      yield tableOf(chunk, false);
      chunk.entries = [];
      chunk.sizeBytes = 0;
    }
    chunk.entries.push(entryOf(ticket, row, nowMs));
    chunk.sizeBytes += rowBytes(row);
    open.set(key, chunk);
  }
  for (const chunk of open.values()) yield tableOf(chunk, true);
}
