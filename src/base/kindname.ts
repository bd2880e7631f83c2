import type { Brand } from './brand.js';

/** Name of a request kind, as declared in the service document. */
export type KindName = Brand<string, 'KindName'>;
