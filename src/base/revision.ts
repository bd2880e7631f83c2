import type { Brand } from './brand.js';

/** A revision of the key-value store. Revisions order all changes of the store totally. */
export type Revision = Brand<number, 'Revision'>;
