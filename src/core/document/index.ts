/** The service document: its types, its schema and the checks before acceptance. */
export type { Customer } from './customer.js';
export type { Kind } from './kind.js';
export type { Model } from './model.js';
export type { Adapter } from './adapter.js';
export type { Route } from './route.js';
export type { Upstream } from './upstream.js';
export type { Group } from './group.js';
export type { ServiceDocument } from './servicedocument.js';
export type { Target } from './target.js';
export type { CheckContext } from './checkcontext.js';
export { checkDocument } from './checkdocument.js';
export type { DocumentFailure } from './documentfailure.js';
export { readDocument } from './readdocument.js';
