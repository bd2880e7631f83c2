import type { ContentId } from '../../base/index.js';
import { requestHash } from '../../shell/hash/index.js';
import type { Caller } from '../caller.js';

/**
 * Names what a request asks: its id is new each time it comes. Nor is the address that it comes from the same: a
 * caller of another availability zone or behind another balancer has another one, and each would cost upstreams.
 */
export function contentOf(request: Caller['request']): ContentId {
  const { method, host, path, body } = request;
  return requestHash(method, `${host}${path}`, body) as ContentId;
}
