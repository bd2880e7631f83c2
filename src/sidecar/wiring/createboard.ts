import { randomInt } from 'node:crypto';
import type { HostId } from '../../base/index.js';
import { HttpHostList } from '../../shell/hosts/index.js';
import { MeshBoard } from '../../shell/mesh/index.js';
import type { PeerCredentials } from '../../shell/tls/index.js';
import type { Context } from '../part/index.js';

const SEED_LIMIT = 2 ** 31;

/** Creates the board, which holds the service's document and the record of the sidecar's own upstream. */
export function createBoard(
  context: Pick<Context, 'settings' | 'clock' | 'log' | 'metrics' | 'store'> & {
    readonly credentials: PeerCredentials;
    /** Called when the host list shows this host as leaving. */
    readonly onLeaving?: () => void;
  },
): MeshBoard {
  const { settings, clock, log, metrics, store, credentials } = context;
  const { hostList, service, upstream } = settings;
  return new MeshBoard({
    hostId: settings.hostId as HostId,
    region: settings.region,
    role: 'sidecar',
    interests: [`document/${service}`, `upstream/${service}/${upstream}`],
    clock,
    log,
    metrics,
    store,
    credentials: credentials.channel,
    hasStore: Boolean(settings.store),
    hostList: hostList ? new HttpHostList(hostList) : undefined,
    hostListPollMs: hostList?.pollMs,
    onLeaving: context.onLeaving,
    seed: randomInt(SEED_LIMIT),
  });
}
