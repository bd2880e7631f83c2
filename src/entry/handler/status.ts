import { UpstreamRecord } from '../../wire/index.js';
import type { Handler } from './handler.js';
import { sendJson } from './sendjson.js';

const UPSTREAMS = 'upstream/';

/**
 * `GET /statusz`: the configuration that this entry has in force, and what it knows of its region's
 * upstreams, for operators.
 */
export const status: Handler = ({ board, settings }, caller) => {
  const { hostId, region, availabilityZone } = settings;
  const upstreams = board.list(UPSTREAMS).map(({ value }) => {
    const { service, upstream, incarnation, phase, revision } = UpstreamRecord.decode(value);
    return { service, upstream, incarnation, phase, revision };
  });
  const place = { hostId, region, availabilityZone };
  sendJson(caller, 200, { ...place, ...board.status(), upstreams });
  return Promise.resolve();
};
