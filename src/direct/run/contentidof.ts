import type { ContentId } from '../../base/index.js';
import { requestHash } from '../../shell/hash/index.js';
import type { Caller } from '../caller.js';

/**
 * Returns an id of what a request asks, the same for each retry. The request id does not serve, since each retry has a
 * new one. Nor does the caller's address: it differs by availability zone and load balancer, and a crashing request
 * would cost upstreams once for each address.
 */
export function contentIdOf(request: Caller['request']): ContentId {
  const { method, host, path, body } = request;
  return requestHash(method, `${host}${path}`, body) as ContentId;
}
