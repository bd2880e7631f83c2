/** Request handlers of an entry, one for each route. */
export type { Caller } from './caller.js';
export { routes } from './routes.js';
