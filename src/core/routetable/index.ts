/** Route tables: which service takes a request, and what the configuration says of services. */
export { findRoute } from './findroute.js';
export { judge } from './judge.js';
export type { Judgement } from './judgement.js';
export type { ModelSpec } from './modelspec.js';
export { pickService } from './pickservice.js';
export type { Route } from './route.js';
export type { RouteTable } from './routetable.js';
export { urgencyOf } from './urgency.js';
export type { ServiceSpec } from './servicespec.js';
