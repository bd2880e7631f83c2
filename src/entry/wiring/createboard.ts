import { randomInt } from 'node:crypto';
import type { HostId } from '../../base/index.js';
import { HttpHostList } from '../../shell/hosts/index.js';
import { MeshBoard } from '../../shell/mesh/index.js';
import type { PeerCredentials } from '../../shell/tls/index.js';
import type { Context } from '../component/index.js';

const SEED_LIMIT = 2 ** 31;

/** Creates the board of this entry, which holds all records of its region. */
export function createBoard(
  context: Pick<Context, 'settings' | 'clock' | 'log' | 'metrics' | 'store'> & {
    readonly credentials: PeerCredentials;
  },
): MeshBoard {
  const { settings, clock, log, metrics, store, credentials } = context;
  const { hostList } = settings;
  return new MeshBoard({
    hostId: settings.hostId as HostId,
    region: settings.region,
    role: 'entry',
    clock,
    log,
    metrics,
    store,
    credentials: credentials.channel,
    hasStore: Boolean(settings.store),
    hostList: hostList ? new HttpHostList(hostList) : undefined,
    hostListPollMs: hostList?.pollMs,
    seed: randomInt(SEED_LIMIT),
  });
}
