import { UpstreamRecord } from '../../wire/index.js';
import type { Handler } from './handler.js';
import { sendJson } from './sendjson.js';

const UPSTREAM_PREFIX = 'upstream/';

/**
 * `GET /statusz`: shows operators the configuration in force at this entry and the upstreams of its region as it knows
 * them.
 */
export const status: Handler = (context, caller) => {
  const { board, settings } = context;
  const { hostId, region, availabilityZone } = settings;
  const upstreams = board.list(UPSTREAM_PREFIX).map(({ value }) => {
    const { service, upstream, incarnation, phase, revision } = UpstreamRecord.decode(value);
    return { service, upstream, incarnation, phase, revision };
  });
  const place = { hostId, region, availabilityZone };
  sendJson(context, caller, 200, { ...place, ...board.status(), upstreams });
  return Promise.resolve();
};
