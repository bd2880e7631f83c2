import type { Brand } from './brand.js';

/** A kind of request, as the document names it. */
export type KindName = Brand<string, 'KindName'>;
