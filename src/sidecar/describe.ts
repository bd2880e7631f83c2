import { UpstreamRecord } from '../wire/index.js';
import type { Context } from './part/index.js';

/** What this sidecar last told of its upstream, with the configuration that it has in force now. */
export function describe({ settings, board }: Context): UpstreamRecord {
  const { service, upstream, availabilityZone, listen: address } = settings;
  const told = board.get(`upstream/${service}/${upstream}`);
  const base = told
    ? UpstreamRecord.decode(told.value)
    : UpstreamRecord.fromPartial({ upstream, service, availabilityZone, address });
  return { ...base, revision: board.revision(service) };
}
