import { createHash } from 'node:crypto';

/** Names a request by what it asks: two requests with one hash are the same request. */
export function requestHash(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url');
}
