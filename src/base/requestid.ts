import type { Brand } from './brand.js';

/** One request of a caller, through all its attempts. */
export type RequestId = Brand<string, 'RequestId'>;
