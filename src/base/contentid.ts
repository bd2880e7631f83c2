import type { Brand } from './brand.js';

/** Identifies the content of a request. Equal requests have the same id, whoever sends them and when. */
export type ContentId = Brand<string, 'ContentId'>;
