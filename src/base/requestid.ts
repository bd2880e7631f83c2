import type { Brand } from './brand.js';

/** Identifies one request of a caller; all its attempts share the id. */
export type RequestId = Brand<string, 'RequestId'>;
