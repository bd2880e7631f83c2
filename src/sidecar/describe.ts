import { UpstreamRecord, type UpstreamLoad } from '../wire/index.js';
import type { Context } from './part/index.js';

/** What this sidecar last told of its upstream, with its load and configuration as they are now. */
export function describe({ settings, board }: Context, load: UpstreamLoad): UpstreamRecord {
  const { service, upstream, availabilityZone, listen: address } = settings;
  const told = board.get(`upstream/${service}/${upstream}`);
  const base = told
    ? UpstreamRecord.decode(told.value)
    : UpstreamRecord.fromPartial({ upstream, service, availabilityZone, address });
  return { ...base, load, revision: board.revision(service) };
}
