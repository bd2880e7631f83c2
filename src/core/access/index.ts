/** Keys and the customers that hold them. */
export type { AccessTable } from './accesstable.js';
export type { CustomerSpec } from './customerspec.js';
export type { Quota } from './quota.js';
