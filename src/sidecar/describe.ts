import { UpstreamRecord, type UpstreamLoad } from '../wire/index.js';
import type { Context } from './part/index.js';

/** Returns the last published record of this sidecar's upstream, with the current load and revision. */
export function describe({ settings, board }: Context, load: UpstreamLoad): UpstreamRecord {
  const { service, upstream, availabilityZone, listen: address } = settings;
  const published = board.get(`upstream/${service}/${upstream}`);
  const base = published
    ? UpstreamRecord.decode(published.value)
    : UpstreamRecord.fromPartial({ upstream, service, availabilityZone, address });
  return { ...base, load, revision: board.revision(service) };
}
