/** Route tables: map requests to services, and hold the configuration of routes and services. */
export { findRoute } from './findroute.js';
export { decideAccess } from './decideaccess.js';
export type { AccessDecision } from './accessdecision.js';
export type { ModelSpec } from './modelspec.js';
export { pickService } from './pickservice.js';
export type { Route } from './route.js';
export type { RouteTable } from './routetable.js';
export { requestUrgency } from './requesturgency.js';
export type { ServiceSpec } from './servicespec.js';
