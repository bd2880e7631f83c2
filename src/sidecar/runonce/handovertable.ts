import { Metadata } from '@grpc/grpc-js';
import { exportTable, type TableState } from '../../core/ticket/index.js';
import { channelOptions } from '../../shell/rpc/index.js';
import { WorkClient, type HandOverReply, type TicketTable } from '../../wire/index.js';
import type { Context } from '../part/index.js';
import { peersOf } from './peersof.js';

const PIECE_BYTES = 1_048_576;
const CALL_TIMEOUT_MS = 2000;

/** Maximum number of peers that a stop tries. Most peers accept, and one that survives is enough. */
const PEER_LIMIT = 4;

type Ports = Pick<Context, 'settings' | 'clock' | 'log' | 'metrics' | 'board' | 'credentials'>;

function sendPiece(client: WorkClient, table: TicketTable, deadline: number): Promise<boolean> {
  return new Promise((resolve) => {
    client.handOver(table, new Metadata(), { deadline }, (error, reply?: HandOverReply) =>
      resolve(!error && !reply?.refusal),
    );
  });
}

/**
 * Returns true if the peer accepted every piece. Pieces that a peer accepted before a refusal can stay there: they are
 * correct.
 */
async function sendTable(
  state: TableState,
  sidecarAddress: string,
  { clock, credentials }: Ports,
): Promise<boolean> {
  const client = new WorkClient(sidecarAddress, credentials.channel, channelOptions.client);
  try {
    for (const table of exportTable(state, PIECE_BYTES, clock.nowMs())) {
      const deadline = clock.wallMs() + CALL_TIMEOUT_MS;
      if (!(await sendPiece(client, table, deadline))) return false;
    }
    return true;
  } finally {
    client.close();
  }
}

/**
 * Hands the table of a stopping sidecar over to the first peer that accepts it. If none does, the outcomes of
 * its tickets become unknown. All its requests have ended, so two peers with the same table cannot disagree.
 */
export async function handOverTable(state: TableState, ports: Ports): Promise<void> {
  const { log, metrics } = ports;
  const ticketCount = state.rows.size;
  for (const { upstream, sidecarAddress } of peersOf(ports).slice(0, PEER_LIMIT)) {
    if (await sendTable(state, sidecarAddress, ports)) {
      log.info('ticket table handed over', { to: upstream, ticketCount });
      metrics.count('ticket.handed_on', ticketCount);
      return;
    }
    log.warn('ticket table not accepted by peer', { peer: upstream });
  }
  log.error('no peer took the ticket table: its tickets are unknown from now on', { ticketCount });
  metrics.count('ticket.abandoned', ticketCount);
}
