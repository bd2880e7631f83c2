import { createHash } from 'node:crypto';

/** SHA-256 of a text, in lower-case hex. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
