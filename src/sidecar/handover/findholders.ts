import { Metadata } from '@grpc/grpc-js';
import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';
import type { Holder } from '../../core/handover/index.js';
import { channelOptions } from '../../shell/rpc/index.js';
import { WorkClient, type UpstreamRecord } from '../../wire/index.js';
import type { Context } from '../part/index.js';
import { peersOf } from '../runonce/index.js';

const CALL_TIMEOUT_MS = 500;

/** Maximum number of peers that one stop queries. */
const PEER_LIMIT = 32;

type Ports = Pick<Context, 'settings' | 'board' | 'clock' | 'credentials'>;

/** An upstream that accepts requests, and the address of its sidecar. */
interface FoundHolder extends Holder {
  readonly sidecarAddress: string;
}

function ask(sidecarAddress: string, ports: Ports): Promise<UpstreamRecord | undefined> {
  const client = new WorkClient(sidecarAddress, ports.credentials.channel, channelOptions.client);
  const deadline = ports.clock.wallMs() + CALL_TIMEOUT_MS;
  return new Promise((resolve) => {
    client.describe({}, new Metadata(), { deadline }, (error, record?: UpstreamRecord) => {
      client.close();
      resolve(error ? undefined : record);
    });
  });
}

function holderOf(record: UpstreamRecord, sidecarAddress: string): FoundHolder {
  const ready = record.residents.filter(({ phase }) => phase === 'ready');
  const { running = 0, queued = 0, slots = 1 } = record.load ?? {};
  return {
    upstream: record.upstream as UpstreamId,
    sidecarAddress,
    models: ready.map(({ model, adapters }) => ({
      model: model as ModelId,
      adapters: adapters as AdapterId[],
    })),
    requestCount: running + queued,
    slots,
  };
}

/**
 * Asks the other sidecars of the service for their current records; the board of a sidecar holds only the sidecar's own
 * record.
 */
export async function findHolders(ports: Ports): Promise<FoundHolder[]> {
  const peers = peersOf(ports).slice(0, PEER_LIMIT);
  const found = peers.map(async ({ sidecarAddress }) => {
    const record = await ask(sidecarAddress, ports);
    return record?.phase === 'ready' ? [holderOf(record, sidecarAddress)] : [];
  });
  return (await Promise.all(found)).flat();
}
