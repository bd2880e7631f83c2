/** Requests of all entries at each upstream, and what entries have learned of its pace, as the order lease holder knows them. */
export { changedPaces } from './changedpaces.js';
export { loadOfOthers } from './loadofothers.js';
export { LoadTable } from './loadtable.js';
export { sharedLoadRules } from './sharedloadrules.js';
export type { UpstreamLoad } from './upstreamload.js';
export type { UpstreamPace } from './upstreampace.js';
