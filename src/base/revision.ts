import type { Brand } from './brand.js';

/** A revision of the key-value store: a total order over all changes. */
export type Revision = Brand<number, 'Revision'>;
