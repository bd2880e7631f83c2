import { randomInt } from 'node:crypto';
import type { HostId } from '../../base/index.js';
import { HttpHostList } from '../../shell/hosts/index.js';
import { MeshBoard } from '../../shell/mesh/index.js';
import type { PeerCredentials } from '../../shell/tls/index.js';
import type { Context } from '../part/index.js';

const SEED_LIMIT = 2 ** 31;

/** The board of this sidecar: it holds its service's document and its own upstream's record. */
export function createBoard(
  context: Pick<Context, 'settings' | 'clock' | 'log' | 'metrics' | 'store'> & {
    readonly credentials: PeerCredentials;
    /** Called when the host list shows this host as leaving. */
    readonly whenLeaving?: () => void;
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
    onLeaving: context.whenLeaving,
    seed: randomInt(SEED_LIMIT),
  });
}
