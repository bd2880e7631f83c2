import { createHash } from 'node:crypto';
import type { KeyHash } from '../../base/index.js';

/**
 * The hash by which a key is kept and looked up: a look-up by hash takes as long for a key that is nearly
 * right as for any other, so that its time tells nothing of the keys that there are.
 */
export function hashKey(key: string): KeyHash {
  return createHash('sha256').update(key).digest('hex') as KeyHash;
}
