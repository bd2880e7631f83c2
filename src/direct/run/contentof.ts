import type { ContentId } from '../../base/index.js';
import { requestHash } from '../../shell/hash/index.js';
import type { Caller } from '../caller.js';

/**
 * Names what a request asks, and who asks it: its id is new each time it comes. Who asks counts, as the same
 * lookup by another caller need not do the same at an upstream.
 */
export function contentOf(request: Caller['request']): ContentId {
  const { method, from, host, path, body } = request;
  return requestHash(method, `${from} ${host}${path}`, body) as ContentId;
}
