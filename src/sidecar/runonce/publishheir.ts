import { Heir, type TicketTable } from '../../wire/index.js';
import type { Context } from '../part/index.js';

type Ports = Pick<Context, 'settings' | 'board' | 'log' | 'audit' | 'clock' | 'incarnation'>;

/** Publishes this sidecar as the heir of a stopped one: entries send requests with its tickets here. */
export function publishHeir(ports: Ports, { upstream, incarnation, hops }: TicketTable): void {
  const { settings, board, log, audit, clock } = ports;
  const own = { upstream: settings.upstream, incarnation: ports.incarnation.current() };
  board.publish({
    key: `heir/${settings.service}/${upstream}`,
    epoch: incarnation,
    sequence: hops,
    value: Buffer.from(Heir.encode(own).finish()),
  });
  log.info('ticket table taken over', { from: upstream, incarnation, hops });
  audit.write({
    wallMs: clock.wallMs(),
    actor: settings.hostId,
    act: 'take-over-tickets',
    subject: upstream,
    detail: { incarnation, hops },
  });
}
