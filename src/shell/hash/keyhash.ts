import { createHash } from 'node:crypto';

/** Name of an `Idempotency-Key` in the store: fixed in length, and safe in a path. */
export function keyHash(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}
