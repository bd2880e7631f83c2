import type { Brand } from './brand.js';

/** SHA-256 of a caller's key in lower-case hex: what stands for the key wherever it is kept or compared. */
export type KeyHash = Brand<string, 'KeyHash'>;
