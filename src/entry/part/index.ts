/** What the entry's shell asks of its parts: each is one interface with one implementation. */
export type { BindAsk } from './bindask.js';
export type { Binding } from './binding.js';
export type { Choice } from './choice.js';
export type { Context } from './context.js';
export type { Directory } from './directory.js';
export type { Outcome } from './outcome.js';
export type { Router } from './router.js';
export type { Tickets } from './tickets.js';
export type { Want } from './want.js';
