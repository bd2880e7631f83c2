import { createHash } from 'node:crypto';

/** Hashes an `Idempotency-Key` for use in store keys: fixed length, and safe in a path. */
export function keyHash(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}
