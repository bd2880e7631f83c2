import type { Brand } from './brand.js';

/** A customer: one party that calls with its own keys. */
export type CustomerId = Brand<string, 'CustomerId'>;
