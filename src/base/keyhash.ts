import type { Brand } from './brand.js';

/** SHA-256 of a caller's API key in lower-case hex. Only the hash is stored and compared, never the key. */
export type KeyHash = Brand<string, 'KeyHash'>;
