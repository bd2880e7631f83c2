import { hash } from 'node:crypto';
import type { KeyHash } from '../../base/index.js';

/**
 * The hash by which a key is kept and looked up: a look-up by hash takes as long for a key that is nearly
 * right as for any other, so that its time tells nothing of the keys that there are.
 */
export function hashKey(key: string): KeyHash {
  // In one call: 10,000 keys of a configuration take 16 to 28 ms in place of 36 to 78 (crowded machine).
  return hash('sha256', key, 'hex') as KeyHash;
}
