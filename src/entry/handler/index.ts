/** What callers may ask of an entry: one handler for each route. */
export type { Caller } from './caller.js';
export { routes } from './routes.js';
