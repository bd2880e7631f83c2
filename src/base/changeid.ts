import type { Brand } from './brand.js';

/** Identifies one change of a document. The operator command that makes the change chooses the id. */
export type ChangeId = Brand<string, 'ChangeId'>;
