/** Interfaces of the entry's components: directory, router and tickets. */
export type { BindRequest } from './bindrequest.js';
export type { Binding } from './binding.js';
export type { Choice } from './choice.js';
export type { Context } from './context.js';
export type { Directory } from './directory.js';
export type { Outcome } from './outcome.js';
export type { Router } from './router.js';
export type { Tickets } from './tickets.js';
export type { RouteRequest } from './routerequest.js';
