import type { TraitId } from '../../base/index.js';
import { requestHash } from '../../shell/hash/index.js';
import type { Caller } from '../caller.js';

/**
 * Returns an id of a request's content, the same for each retry. The request id is unsuitable, since each retry has a
 * new one. So is the caller's address: it differs by availability zone and load balancer, and a request that crashes
 * upstreams would have to be detected anew for each address.
 */
export function contentIdOf(request: Caller['request']): TraitId {
  const { method, host, path, body } = request;
  return requestHash(method, `${host}${path}`, body) as TraitId;
}
