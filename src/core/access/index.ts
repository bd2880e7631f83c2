/** Customers, their keys and their quotas. */
export type { AccessTable } from './accesstable.js';
export type { CustomerSpec } from './customerspec.js';
export type { Quota } from './quota.js';
