import type { Brand } from './brand.js';

/** Identifies a customer: an organisation that calls with its own API keys. */
export type CustomerId = Brand<string, 'CustomerId'>;
