import type { Incarnation, TicketId, UpstreamId } from '../../base/index.js';

/** Parts of a ticket. */
interface TicketName {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  /** Known only to the ticket's holder and the issuing table. */
  readonly secret: string;
}

const SHAPE = /^([^.]+)\.(\d{1,16})\.([\w-]{22,64})$/;

/**
 * Formats and parses tickets: `{upstream}.{incarnation}.{secret}`, with dots in the upstream's id escaped.
 * Entries parse a ticket to route it; only the table decides whether it was issued, and to whom.
 */
export const ticketName = {
  write({ upstream, incarnation, secret }: TicketName): TicketId {
    const place = encodeURIComponent(upstream).replaceAll('.', '%2E');
    return `${place}.${incarnation}.${secret}` as TicketId;
  },

  read(ticket: string): TicketName | undefined {
    const [, place = '', incarnation = '', secret = ''] = SHAPE.exec(ticket) ?? [];
    if (!secret) return undefined;
    try {
      const upstream = decodeURIComponent(place) as UpstreamId;
      return { upstream, incarnation: Number(incarnation) as Incarnation, secret };
    } catch {
      return undefined;
    }
  },
};
