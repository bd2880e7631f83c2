import type { Brand } from './brand.js';

/** Names what a request asks and who asks it; the same whenever it comes again. */
export type ContentId = Brand<string, 'ContentId'>;
