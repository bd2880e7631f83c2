import { Metadata } from '@grpc/grpc-js';
import { exportTable, type TableState } from '../../core/ticket/index.js';
import { channelOptions } from '../../shell/rpc/index.js';
import { WorkClient, type HandOverReply, type TicketTable } from '../../wire/index.js';
import type { Context } from '../part/index.js';
import { peersOf } from './peersof.js';

const PIECE_BYTES = 1_048_576;
const CALL_TIMEOUT_MS = 2000;

/** A stop does not wait for more peers than this: most answer, and one that lives is enough. */
const PEER_LIMIT = 4;

type Ports = Pick<Context, 'settings' | 'clock' | 'log' | 'metrics' | 'board' | 'credentials'>;

function offer(client: WorkClient, table: TicketTable, deadline: number): Promise<boolean> {
  return new Promise((resolve) => {
    client.handOver(table, new Metadata(), { deadline }, (error, reply?: HandOverReply) =>
      resolve(!error && !reply?.refusal),
    );
  });
}

/** True if the peer has taken every piece. What it took of a refused table does no harm: it is true. */
async function give(
  state: TableState,
  sidecarAddress: string,
  { clock, credentials }: Ports,
): Promise<boolean> {
  const client = new WorkClient(sidecarAddress, credentials.channel, channelOptions.client);
  try {
    for (const table of exportTable(state, PIECE_BYTES, clock.nowMs())) {
      const deadline = clock.wallMs() + CALL_TIMEOUT_MS;
      if (!(await offer(client, table, deadline))) return false;
    }
    return true;
  } finally {
    client.close();
  }
}

/**
 * Hands the table of a stopping sidecar to the first peer that takes it. If none does, its tickets
 * become unknown. All that is handed on has ended, so that two peers may hold it and agree.
 */
export async function handOn(state: TableState, ports: Ports): Promise<void> {
  const { log, metrics } = ports;
  const ticketCount = state.rows.size;
  for (const { upstream, sidecarAddress } of peersOf(ports).slice(0, PEER_LIMIT)) {
    if (await give(state, sidecarAddress, ports)) {
      log.info('ticket table handed on', { to: upstream, ticketCount });
      metrics.count('ticket.handed_on', ticketCount);
      return;
    }
    log.warn('a peer did not take the ticket table', { peer: upstream });
  }
  log.error('no peer took the ticket table: its tickets are unknown from now on', { ticketCount });
  metrics.count('ticket.abandoned', ticketCount);
}
