import { createHash } from 'node:crypto';

/** Hashes method, path and body. Requests with the same hash are treated as the same request. */
export function requestHash(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url');
}
