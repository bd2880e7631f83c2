import type { Brand } from './brand.js';

/** One change of a document, named by the operator command that makes it. */
export type ChangeId = Brand<string, 'ChangeId'>;
