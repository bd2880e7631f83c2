import type { Brand } from './brand.js';

/** Names what a request asks; the same whenever it comes again, from wherever. */
export type ContentId = Brand<string, 'ContentId'>;
